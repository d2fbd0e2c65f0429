import { AdmissionQueue, instant, milliseconds } from "@foxtailwind/core";
import {
  type ArrivingPrompt,
  PREFILL_TOKENS_PER_MILLISECOND,
  PromptGate,
} from "./reading_engine.ts";

/** So many places that only prefill makes prompts wait. */
const PLACES = { total: 1_000, free: 1_000 } as const;

/** The latency target of first events, in milliseconds. */
export const FIRST_EVENT_TARGET_MILLISECONDS = 800;

/** Passes each prompt to the engine immediately. */
export class ImmediateGate extends PromptGate {
  #waitingPrompts: ArrivingPrompt[] = [];

  override add(prompt: ArrivingPrompt): void {
    this.#waitingPrompts.push(prompt);
  }

  override take(): readonly ArrivingPrompt[] {
    return this.#waitingPrompts.splice(0);
  }
}

/** Passes prompts to the engine as the engine's owner does. */
export class SpacedGate extends PromptGate {
  readonly #queue = new AdmissionQueue<ArrivingPrompt>();
  readonly #slowdown: number;

  /** @param slowdown How many times slower than normal the engine is. */
  constructor(slowdown = 1) {
    super();
    this.#slowdown = slowdown;
  }

  override add(prompt: ArrivingPrompt): void {
    const { arrivedAt, tokens } = prompt;
    this.#queue.add(prompt, {
      prefillTime: milliseconds(
        this.#slowdown * tokens / PREFILL_TOKENS_PER_MILLISECOND,
      ),
      deadline: instant(arrivedAt + FIRST_EVENT_TARGET_MILLISECONDS),
      needsBreak: true,
      priority: 0,
      account: undefined,
      work: tokens,
    });
  }

  override take(now: number): readonly ArrivingPrompt[] {
    const releasedPrompts: ArrivingPrompt[] = [];
    for (;;) {
      const prompt = this.#queue.next(instant(now), PLACES);
      if (prompt === undefined) return releasedPrompts;
      releasedPrompts.push(prompt);
    }
  }
}
