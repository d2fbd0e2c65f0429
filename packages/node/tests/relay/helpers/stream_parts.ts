import { StandInLog, StandInStore } from "@foxtailwind/bench";
import {
  type Knowledge,
  type ProcessClock,
  StreamArchive,
} from "@foxtailwind/node/relay";
import { nodeRecord } from "./node_record.ts";

/**
 * Creates what a stream directory needs besides its peers.
 * @param knowledge The node's knowledge.
 * @param clock The node's clock.
 * @param store The store of the log; by default an empty one.
 * @returns The node itself, and its archive.
 */
export function createStreamParts(
  knowledge: Knowledge,
  clock: ProcessClock,
  store = new StandInStore(),
) {
  const log = new StandInLog(store);
  return {
    self: nodeRecord("self"),
    log,
    archive: new StreamArchive({ knowledge, log, clock }),
  };
}
