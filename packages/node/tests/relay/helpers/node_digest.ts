import type { EngineDigest, NodeDigest } from "@foxtailwind/protocol";

/**
 * Creates the digest of a node.
 * @param node The node.
 * @param change Fields that differ from a ready node that owns no engines.
 * @returns The digest.
 */
export function nodeDigest(
  node: string,
  change: Partial<NodeDigest> = {},
): NodeDigest {
  return {
    node,
    incarnation: "run-1",
    address: "127.0.0.1:1",
    callerAddress: "127.0.0.1:2",
    failureDomain: "d",
    isReady: true,
    isLeaving: false,
    engineStates: undefined,
    operatorsEnd: 0,
    sequence: 0,
    reachesLog: true,
    capacity: 0,
    load: 0,
    periodMilliseconds: 300,
    limits: [],
    isEstablished: true,
    unreachedServices: [],
    ...change,
  };
}

/**
 * Creates the digest of an engine that is idle and holds no adapter.
 * @param engine The engine.
 * @param change Fields that differ.
 * @returns The digest.
 */
export function engineDigest(
  engine: string,
  change: Partial<EngineDigest> = {},
): EngineDigest {
  return {
    engine,
    start: 0,
    waitMilliseconds: 0,
    room: 1,
    adapters: [],
    isReachable: true,
    isFull: false,
    running: 0,
    cacheSize: 0,
    loadMilliseconds: 0,
    reloadMilliseconds: 0,
    ...change,
  };
}

/**
 * Creates the digest of a node that owns engines.
 * @param node The node.
 * @param engines Its engines.
 * @returns The digest.
 */
export function ownerDigest(
  node: string,
  engines: readonly EngineDigest[],
): NodeDigest {
  return nodeDigest(node, {
    engineStates: {
      accounts: [],
      retries: [],
      sequence: 1,
      engines: [...engines],
    },
  });
}
