import type { NodeDigest } from "@foxtailwind/protocol";

/**
 * Makes what a node says of itself.
 * @param node The node.
 * @param change What differs from a node that is ready and owns nothing.
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
    registryEnd: 0,
    capacity: 0,
    load: 0,
    periodMilliseconds: 300,
    limits: [],
    ...change,
  };
}
