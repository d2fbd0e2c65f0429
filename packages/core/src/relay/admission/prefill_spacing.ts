import {
  type Duration,
  type Instant,
  instant,
  milliseconds,
} from "../../shared/mod.ts";
import type { AdmissionTerms } from "./admission_terms.ts";

/**
 * The share of an engine's time spent on prefill while prompts are queued.
 * Engines prefill prompts in chunks between the tokens of running requests, so
 * prefill without breaks delays all streams on the engine at once. The rest is a
 * margin for wrong estimates.
 */
const PREFILL_SHARE = 0.8;
/**
 * The next prompt is granted this many milliseconds before the previous one is
 * done, so that the engine isn't idle while the grant and the request are in
 * flight.
 */
const HEAD_START_MILLISECONDS = 10;

/**
 * Prompt tokens that an engine without breaks prefills between two events of a
 * stream, each of which holds several tokens.
 */
const PREFILL_TOKENS_BETWEEN_EVENTS = 6_500;

/**
 * Checks whether an engine that prefills prompts without breaks delays its
 * running streams too much. Engines that are fast enough, or whose streams
 * allow longer pauses, should get each prompt at once: unnecessary breaks delay
 * first events.
 * @param tokenTime Milliseconds in which the engine prefills a token.
 * @param longestPause The longest pause between two events that isn't late.
 * @returns Whether prompts need to be spaced.
 */
export function needsBreaks(
  tokenTime: number,
  longestPause: Duration,
): boolean {
  return PREFILL_TOKENS_BETWEEN_EVENTS * tokenTime > longestPause;
}

/**
 * Spaces the prefills on one engine if they need it, so that running streams
 * make progress in between: under bursts of prompts, streams keep their pace
 * and the prompts wait, in place of all streams being late. `bench:reading`
 * compares both.
 */
export class PrefillSpacing {
  #endsAt = 0;

  /** When the next prompt that needs a break may be prefilled. */
  get opensAt(): Instant {
    return instant(this.#endsAt - HEAD_START_MILLISECONDS);
  }

  /**
   * Records that the engine begins to prefill a prompt.
   * @param now The present time.
   * @param terms The prompt's terms.
   */
  begin(
    now: Instant,
    { prefillTime, needsBreak }: Pick<
      AdmissionTerms,
      "prefillTime" | "needsBreak"
    >,
  ): void {
    const share = needsBreak ? PREFILL_SHARE : 1;
    this.#endsAt = Math.max(now, this.#endsAt) + prefillTime / share;
  }

  /**
   * Estimates how long a prompt waits for the prefill of others.
   * @param now The present time.
   * @param queued The prefill time of the prompts queued before it.
   * @returns The wait.
   */
  wait(now: Instant, queued: number): Duration {
    const ahead = Math.max(0, this.#endsAt - now);
    return milliseconds(ahead + queued / PREFILL_SHARE);
  }
}
