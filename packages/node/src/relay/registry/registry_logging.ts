import {
  type Duration,
  type EntryOutcome,
  type RegisteredServer,
  type RegistryEntry,
  RELAY_SENTENCE,
} from "@foxtailwind/core";
import type { ComponentLogger } from "../../logging/component_logger.ts";

/**
 * Logs an entry that is of a different start of its server.
 * @param logger The logger.
 * @param entry The registry entry.
 * @param outcome The result of applying the entry.
 */
export function logRestart(
  logger: ComponentLogger,
  entry: RegistryEntry,
  outcome: EntryOutcome | undefined,
): void {
  if (entry.kind === "gone") return;
  const { id, start, software } = entry.server;
  if (outcome === "restarted") {
    logger.info("A server has restarted.", {
      server: id,
      start,
      software,
    });
  } else if (outcome === "older_start") {
    logger.warn("An entry of an older start was skipped.", {
      server: id,
      start,
      offset: entry.offset,
    });
  }
}

/** What was known when an entry came, and from where it came. */
export interface EntryContext {
  /** The server as known before the entry. */
  readonly known: RegisteredServer | undefined;
  /** Whether the log or a peer delivered it. */
  readonly source: string;
  /** How old the node's registry was, if it ever had the whole. */
  readonly age: Duration | undefined;
}

/**
 * Logs that a server has registered, is leaving or has left.
 * @param logger The logger.
 * @param entry The registry entry.
 * @param context What was known, and from where the entry came.
 */
export function logServerChange(
  logger: ComponentLogger,
  entry: RegistryEntry,
  { known, source, age }: EntryContext,
): void {
  const origin = {
    offset: entry.offset,
    stated_by: source,
    registry_age: age === undefined ? undefined : Math.round(age),
  };
  if (entry.kind === "gone") {
    logger.info(RELAY_SENTENCE.serverLeft, { server: entry.id, ...origin });
    return;
  }
  const { id, service, software, leaving } = entry.server;
  if (known === undefined) {
    logger.info("A server has registered.", {
      server: id,
      service,
      software,
      ...origin,
    });
  } else if (leaving && !known.leaving) {
    logger.info(RELAY_SENTENCE.serverLeaves, {
      server: id,
      service,
      ...origin,
    });
  }
}
