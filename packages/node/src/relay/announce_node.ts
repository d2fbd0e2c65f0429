import { setTimeout as sleep } from "node:timers/promises";
import type { NodePresence } from "./node_presence.ts";
import type { SharedLog } from "./shared_log.ts";

/** Pause between two attempts to announce a node. */
const ANNOUNCE_RETRY_MILLISECONDS = 500;

/**
 * Announces a node in the shared log and retries until that succeeds or the
 * node begins to stop.
 * @param log The shared log.
 * @param presence The node to announce.
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
