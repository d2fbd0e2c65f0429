import { instant, milliseconds, PrefillQueue } from "@foxtailwind/core";
import {
  type ArrivingPrompt,
  PromptGate,
  TOKENS_A_MILLISECOND,
} from "./reading_engine.ts";

/** The time in which first events are wanted, in milliseconds. */
export const TARGET_MILLISECONDS = 800;

/** Gives an engine each prompt at once. */
export class OpenGate extends PromptGate {
  #given: ArrivingPrompt[] = [];

  override add(prompt: ArrivingPrompt): void {
    this.#given.push(prompt);
  }

  override take(): readonly ArrivingPrompt[] {
    return this.#given.splice(0);
  }
}

/** Gives an engine its prompts as its owner does. */
export class SpacedGate extends PromptGate {
  readonly #queue = new PrefillQueue<ArrivingPrompt>();
  readonly #speed: number;

  /** @param speed How many times slower than normal the engine is. */
  constructor(speed = 1) {
    super();
    this.#speed = speed;
  }

  override add(prompt: ArrivingPrompt): void {
    const { at, tokens } = prompt;
    this.#queue.add(prompt, {
      prefillTime: milliseconds(this.#speed * tokens / TOKENS_A_MILLISECOND),
      deadline: instant(at + TARGET_MILLISECONDS),
      needsBreak: true,
    });
  }

  override take(now: number): readonly ArrivingPrompt[] {
    const taken: ArrivingPrompt[] = [];
    for (;;) {
      const prompt = this.#queue.next(instant(now));
      if (prompt === undefined) return taken;
      taken.push(prompt);
    }
  }
}
