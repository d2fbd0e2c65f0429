import { instant, milliseconds, ReadingQueue } from "@foxtailwind/core";
import { type PromptGate, TOKENS_A_MILLISECOND } from "./reading_engine.ts";

/** The time in which first events are wanted, in milliseconds. */
export const TARGET_MILLISECONDS = 800;

/**
 * Gives an engine each prompt at once.
 * @returns The gate.
 */
export function openGate(): PromptGate {
  let given: number[] = [];
  return {
    add: (index) => {
      given.push(index);
    },
    take: () => {
      const taken = given;
      given = [];
      return taken;
    },
  };
}

/**
 * Gives an engine its prompts as its owner does.
 * @param speed How many times slower than normal the engine is.
 * @returns The gate.
 */
export function spacedGate(speed = 1): PromptGate {
  const queue = new ReadingQueue<number>();
  return {
    add: (index, { at, tokens }) => {
      queue.add(index, {
        reading: milliseconds(speed * tokens / TOKENS_A_MILLISECOND),
        wantedBy: instant(at + TARGET_MILLISECONDS),
        needsBreak: true,
      });
    },
    take: (now) => {
      const taken: number[] = [];
      for (;;) {
        const index = queue.next(instant(now));
        if (index === undefined) return taken;
        taken.push(index);
      }
    },
  };
}
