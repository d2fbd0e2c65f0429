import type { PlannedFault } from "./relay_fault.ts";
import { drawScript, type RelayScript } from "./relay_script.ts";

/** When the store comes back from an older copy. */
const RETURNS_AT_MILLISECONDS = [900, 2_100, 3_300];
const COPY_AGE_MILLISECONDS = 800;
/** Servers that leave after a return, and the pauses between them. */
const DEPARTURES = 3;
const DEPARTURE_PAUSE_MILLISECONDS = 150;

/**
 * Draws a run in which the store comes back from an older copy several times,
 * and servers leave in a row each time.
 * @param seed The seed.
 * @returns The run.
 */
export function drawReturnScript(seed: number): RelayScript {
  const script = drawScript(seed);
  const faults = RETURNS_AT_MILLISECONDS.flatMap((at, index) => [
    {
      at,
      fault: { kind: "store_returns", age: COPY_AGE_MILLISECONDS },
    } as const,
    ...planDepartures(at, index * DEPARTURES),
  ]);
  return {
    ...script,
    faults: [...script.faults, ...faults]
      .toSorted((one, other) => one.at - other.at),
  };
}

function planDepartures(
  after: number,
  firstServer: number,
): readonly PlannedFault[] {
  return Array.from({ length: DEPARTURES }, (_, index) => ({
    at: after + (index + 1) * DEPARTURE_PAUSE_MILLISECONDS,
    fault: { kind: "server_leaves", server: firstServer + index },
  }));
}
