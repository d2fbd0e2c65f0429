import type { EngineRole } from "@foxtailwind/edges";
import type { Generation } from "./generation.ts";

/** What a step costs. */
export interface StepCost {
  readonly stepBaseMilliseconds: number;
  readonly stepMillisecondsPerSequence: number;
  readonly prefillMillisecondsPerToken: number;
}

/**
 * Chooses the sequences of the next step: higher priority first, then by
 * arrival, so that a running one gives way only to a higher priority.
 * @param live All generations that have not ended.
 * @param capacity The size of the batch.
 * @returns The batch.
 */
export function chooseBatch(
  live: Iterable<Generation>,
  capacity: number,
): readonly Generation[] {
  const ordered = [...live].sort((one, other) =>
    other.priority - one.priority || one.arrival - other.arrival
  );
  return ordered.slice(0, capacity);
}

/**
 * Tells whether a generation has nothing to do in this engine's batch.
 * @param generation The generation.
 * @param role The engine's role.
 * @returns Whether it waits for its KV cache to be exported, or stands still
 * because that has been done.
 */
export function isParked(generation: Generation, role: EngineRole): boolean {
  return generation.exported || (role === "prefill" && generation.prefilled);
}

/**
 * Works out how long a step takes.
 * @param sequences The size of the batch.
 * @param prefillTokens The prompt tokens that the step computes.
 * @param cost What a step costs.
 * @returns Milliseconds.
 */
export function stepMilliseconds(
  sequences: number,
  prefillTokens: number,
  cost: StepCost,
): number {
  return cost.stepBaseMilliseconds +
    sequences * cost.stepMillisecondsPerSequence +
    prefillTokens * cost.prefillMillisecondsPerToken;
}
