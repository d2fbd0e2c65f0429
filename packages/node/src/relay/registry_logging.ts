import {
  type EntryOutcome,
  type RegisteredServer,
  type RegistryEntry,
  RELAY_SENTENCE,
} from "@foxtailwind/core";
import type { PartLogger } from "../logging/part_logger.ts";

/**
 * Logs where an entry tells of another start of its server.
 * @param logger Takes the line.
 * @param entry The entry.
 * @param outcome What came of it.
 */
export function logRestart(
  logger: PartLogger,
  entry: RegistryEntry,
  outcome: EntryOutcome | undefined,
): void {
  if (entry.kind === "gone") return;
  const { id, start } = entry.server;
  if (outcome === "restarted") {
    logger.info("A server has started again.", { server: id, start });
  } else if (outcome === "older_start") {
    logger.warn("An entry of an older start is left out.", {
      server: id,
      start,
      offset: entry.offset,
    });
  }
}

/**
 * Logs that a server has come, leaves or has left.
 * @param logger Takes the line.
 * @param entry The entry that says so.
 * @param known What was known of it before.
 */
export function logServerChange(
  logger: PartLogger,
  entry: RegistryEntry,
  known: RegisteredServer | undefined,
): void {
  if (entry.kind === "gone") {
    logger.info(RELAY_SENTENCE.serverLeft, { server: entry.id });
    return;
  }
  const { id, service, leaving } = entry.server;
  if (known === undefined) {
    logger.info("A server is there.", { server: id, service });
  } else if (leaving && !known.leaving) {
    logger.info(RELAY_SENTENCE.serverLeaves, { server: id, service });
  }
}
