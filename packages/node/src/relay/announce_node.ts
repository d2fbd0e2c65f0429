import { setTimeout as sleep } from "node:timers/promises";
import type { NodePresence } from "./node_presence.ts";
import type { SharedLog } from "./shared_log.ts";

/** Between two attempts to make a node known. */
const ANNOUNCE_RETRY_MILLISECONDS = 500;

/**
 * Makes a node known in the log, and tries until that is done or the node
 * leaves.
 * @param log The log.
 * @param presence The node.
 */
export async function announceNode(
  log: Pick<SharedLog, "announce">,
  presence: NodePresence,
): Promise<void> {
  const { record } = presence;
  for (;;) {
    const added = await log.announce(record);
    if (added.isOk() && added.value) return;
    if (presence.isLeaving) return;
    await sleep(ANNOUNCE_RETRY_MILLISECONDS);
  }
}
