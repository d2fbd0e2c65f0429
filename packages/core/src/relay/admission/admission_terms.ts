import type { Duration, Instant } from "../../shared/mod.ts";

/** What decides when a request gets a place on an engine. */
export interface AdmissionTerms {
  /** The priority of its class; 0 is the most urgent. */
  readonly priority: number;
  /** The client account that it belongs to, if any. */
  readonly account: string | undefined;
  /** The tokens that the engine reads and writes for it. */
  readonly work: number;
  /** How long the engine takes to prefill its prompt. */
  readonly prefillTime: Duration;
  /** Whether the prefill of earlier prompts has to be finished first. */
  readonly needsBreak: boolean;
  /** When its first event is due. */
  readonly deadline: Instant;
  /** When its sender stops waiting for a place, if it has said so. */
  readonly waitsUntil?: Instant | undefined;
}

/**
 * Returns the time after which a request can't be in time any longer.
 * @param terms The terms of the request.
 * @returns When its prefill has to begin at the latest.
 */
export function latestStart(
  { deadline, prefillTime }: Pick<AdmissionTerms, "deadline" | "prefillTime">,
): number {
  return deadline - prefillTime;
}
