import {
  type BackendServerId,
  type ContentDigest,
  type Duration,
  milliseconds,
  type ServerStart,
} from "../../shared/mod.ts";
import { startKey } from "../registry/start_history.ts";

/**
 * What of a request may crash servers: its whole content, or a part of its
 * prompt that other requests share.
 */
export interface Suspect {
  readonly content: ContentDigest;
  /** The position of a part in its prompt; omitted for a whole content. */
  readonly partPosition?: number;
}

/** A suspect, and the run of a server that it may have ended. */
export interface SuspicionKey {
  readonly content: ContentDigest;
  readonly server: BackendServerId;
  /** Omitted if the server does not tell it. */
  readonly start?: ServerStart;
}

/** The suspicion that a suspect ended the server that ran its request. */
export interface CrashSuspicion extends SuspicionKey, Suspect {
  /** From the first bytes of the answer to its end. */
  readonly ranFor: Duration;
}

/** A request that ran for longer before its server ended did not cause it. */
export const MAXIMUM_SUSPECT_RUN_TIME = milliseconds(1_000);

/**
 * Determines whether a request may have ended its server.
 * @param ranFor From the first bytes of its answer to the end of the
 * connection; `undefined` if no bytes arrived.
 * @returns The run time to rank the suspicion by, or `undefined` if the request
 * isn't suspect. A request without an answer may have been queued and ranks as
 * the least suspect.
 */
export function suspectRunTime(
  ranFor: Duration | undefined,
): Duration | undefined {
  if (ranFor === undefined) return MAXIMUM_SUSPECT_RUN_TIME;
  return ranFor <= MAXIMUM_SUSPECT_RUN_TIME ? ranFor : undefined;
}

/**
 * Returns the key of the server run that a suspicion refers to.
 * @param suspicion The suspicion.
 * @returns The key.
 */
export function suspectedRunKey({ server, start }: SuspicionKey): string {
  return startKey(server, start);
}

/** A run contradicts suspects that had run for at most 1/2 of its time. */
const CONTRADICTING_RATIO = 2;

/**
 * A run that goes on for this long contradicts suspects that had sent nothing.
 * They had not begun, or had only just: the end of a server that they would have
 * caused is known to all nodes within this time of their beginning.
 */
const UNANSWERED_CONTRADICTION_TIME = milliseconds(450);

/**
 * The ages at which a run whose server still runs clears its suspects, also
 * where its answer is complete. All but the last come before a part is blamed,
 * or soon after.
 */
export const SURVIVAL_CHECKS: readonly Duration[] = [
  milliseconds(300),
  UNANSWERED_CONTRADICTION_TIME,
  milliseconds(800),
  MAXIMUM_SUSPECT_RUN_TIME,
];

/**
 * Determines whether a run that has not ended its server contradicts a
 * suspicion against something that it shares with the suspect.
 * @param ranFor How long the suspect had run as its server ended.
 * @param lasted How long the run has lasted.
 * @returns Whether the suspicion is contradicted.
 */
export function isContradicted(ranFor: Duration, lasted: Duration): boolean {
  const needed = ranFor >= MAXIMUM_SUSPECT_RUN_TIME
    ? UNANSWERED_CONTRADICTION_TIME
    : Math.min(MAXIMUM_SUSPECT_RUN_TIME, CONTRADICTING_RATIO * ranFor);
  return lasted >= needed;
}
