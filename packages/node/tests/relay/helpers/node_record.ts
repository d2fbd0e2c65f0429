import { failureDomainId, nodeId } from "@foxtailwind/core";
import type { NodeRecord } from "@foxtailwind/node/relay";

/**
 * Creates the log record of a node.
 * @param id The node.
 * @returns The record.
 */
export function nodeRecord(id: string): NodeRecord {
  return {
    id: nodeId(id),
    incarnation: "run",
    address: "127.0.0.1:1",
    failureDomain: failureDomainId("d"),
    capacity: 324,
  };
}
