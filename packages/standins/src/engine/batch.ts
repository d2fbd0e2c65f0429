import type { EngineRole } from "@foxtailwind/edges";
import type { Generation } from "./generation.ts";

/** The parameters from which the duration of a step is computed. */
export interface StepCost {
  readonly stepBaseMilliseconds: number;
  readonly stepMillisecondsPerSequence: number;
  readonly prefillMillisecondsPerToken: number;
}

/**
 * Selects the generations of the next step: higher priority first, then earlier
 * arrival, so that only a higher priority preempts a running generation.
 * @param candidates The generations that can run.
 * @param capacity The size of the batch.
 * @returns The batch.
 */
export function chooseBatch(
  candidates: Iterable<Generation>,
  capacity: number,
): readonly Generation[] {
  const byPriority = [...candidates].sort((left, right) =>
    right.priority - left.priority || left.arrivedAt - right.arrivedAt
  );
  return byPriority.slice(0, capacity);
}

/**
 * Checks whether a generation needs no further steps on this engine for now.
 * @param generation The generation.
 * @param role The engine's role.
 * @returns Whether it waits for the export of its KV cache, or is paused after
 * the export.
 */
export function isParked(generation: Generation, role: EngineRole): boolean {
  return generation.isExported ||
    (role === "prefill" && generation.isPrefilled);
}

/**
 * Computes the duration of a step.
 * @param sequences The number of sequences in the batch.
 * @param prefillTokens The number of prompt tokens that the step prefills.
 * @param cost The cost parameters.
 * @returns The duration in milliseconds.
 */
export function computeStepMilliseconds(
  sequences: number,
  prefillTokens: number,
  cost: StepCost,
): number {
  return cost.stepBaseMilliseconds +
    sequences * cost.stepMillisecondsPerSequence +
    prefillTokens * cost.prefillMillisecondsPerToken;
}
