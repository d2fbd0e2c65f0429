import type { NodeDigest } from "@foxtailwind/protocol";

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
