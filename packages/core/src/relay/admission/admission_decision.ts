import type { Duration, Instant } from "../../shared/mod.ts";
import { type AdmissionTerms, latestStart } from "./admission_terms.ts";

/** Why a request isn't admitted to an engine's queue. */
export type AdmissionRefusal =
  /** It can't begin before its sender gives up. */
  | "no_place"
  /** It would begin too late, and its sender may ask for another engine. */
  | "late";

/** A request for a place, and the wait that is expected for it. */
export interface AdmissionRequest {
  readonly terms: AdmissionTerms;
  /** Whether the sender wants the place only if the request can be in time. */
  readonly onlyInTime: boolean;
  /** How long it would wait. */
  readonly wait: Duration;
}

/**
 * Decides whether to admit a request to an engine's queue.
 * @param now The present time.
 * @param request The request.
 * @returns Why it is refused, or `undefined` if it is admitted.
 */
export function decideAdmission(
  now: Instant,
  { terms, onlyInTime, wait }: AdmissionRequest,
): AdmissionRefusal | undefined {
  if (terms.waitsUntil === undefined || wait <= 0) return undefined;
  const beginsAt = now + wait;
  if (beginsAt > terms.waitsUntil) return "no_place";
  return onlyInTime && beginsAt > latestStart(terms) ? "late" : undefined;
}
