import { Draws } from "./draws.ts";
import { drawRelayFaults, type PlannedFault } from "./relay_fault.ts";
import { REQUEST_KINDS, type RequestKind } from "./relay_record.ts";
import { drawAdapter, WORLD_SIZE, type WorldSize } from "./world_size.ts";

/** A request and its time, in milliseconds after the script's begin. */
export interface PlannedCall {
  readonly at: number;
  readonly id: string;
  readonly kind: RequestKind | "extra";
  readonly adapter: number;
  readonly node: number;
  readonly caller: number;
  readonly isKept: boolean;
  /** The parts of its prompt that it shares with others. */
  readonly sharedParts?: readonly string[];
  /** How long the caller waits, where it says so, in milliseconds. */
  readonly patience?: number;
}

/** All that a seed decides ahead. */
export interface RelayScript {
  readonly size: WorldSize;
  /** Until all nodes stop, in milliseconds, if not the usual time. */
  readonly lasts?: number;
  readonly calls: readonly PlannedCall[];
  readonly faults: readonly PlannedFault[];
}

/** Calls begin within this time. */
const CALL_MILLISECONDS = 9_800;
const CALL_PAUSE_MILLISECONDS = 15;

/**
 * Draws what happens in a run.
 * @param seed The seed.
 * @returns The script.
 */
export function drawScript(seed: number): RelayScript {
  return {
    size: WORLD_SIZE,
    calls: drawCalls(seed),
    faults: drawRelayFaults(seed),
  };
}

function drawCalls(seed: number): readonly PlannedCall[] {
  const draws = new Draws(seed, "calls");
  const calls: PlannedCall[] = [];
  let at = 0;
  while (at < CALL_MILLISECONDS) {
    const isImpatient = draws.happens(0.2);
    calls.push({
      at,
      id: `r${calls.length + 1}`,
      kind: draws.happens(0.1) ? "extra" : draws.pick(REQUEST_KINDS),
      adapter: drawAdapter(draws),
      node: draws.between(0, WORLD_SIZE.nodes),
      caller: draws.between(0, WORLD_SIZE.callers),
      isKept: draws.happens(0.6),
      ...(isImpatient ? { patience: draws.between(300, 1_200) } : {}),
    });
    at += draws.between(1, 2 * CALL_PAUSE_MILLISECONDS);
  }
  return calls;
}
