import { Draws } from "../draws.ts";
import type { PlannedFault } from "../relay_fault.ts";
import type { PlannedCall, RelayScript } from "../relay_script.ts";
import { WORLD_SIZE, type WorldSize } from "../world_size.ts";

/** The part that crashes engines. */
export const CRASHING_PART = "crashing";
/** The part that requests with it share with sound ones. */
export const COMMON_PART = "common";

/** How large the world of this soak is. */
const PART_WORLD_SIZE: WorldSize = { nodes: 5, engines: 8, plainServers: 1 };
/** Of the nodes, this many are cut off at the same moment. */
const MASS_CUT_NODES = 3;
const SCRIPT_MILLISECONDS = 11_000;
/** Faults come until then, so that nodes are in touch again afterwards. */
const FAULT_MILLISECONDS = 4_000;
const SOUND_PAUSE_MILLISECONDS = 12;
const CRASHING_PAUSE_MILLISECONDS = 350;
const ADAPTERS = 8;
const OTHER_FIRST_PARTS = 2;
const SECOND_PARTS = 40;

/**
 * Draws a run of requests one part of whose prompts crashes engines, while nodes
 * are cut off and engines end by themselves.
 * @param seed The seed.
 * @returns The script.
 */
export function drawPartScript(seed: number): RelayScript {
  const draws = new Draws(seed, "part faults");
  const at = (): number => draws.between(0, FAULT_MILLISECONDS);
  const node = (): number => draws.between(0, PART_WORLD_SIZE.nodes);
  const faults: PlannedFault[] = [];
  if (draws.happens(0.6)) {
    const fault = {
      kind: "several_cut",
      node: node(),
      nodes: MASS_CUT_NODES,
    } as const;
    faults.push({ at: at(), fault });
  }
  if (draws.happens(0.4)) {
    const lasts = draws.between(500, 2_000);
    faults.push({ at: at(), fault: { kind: "store_down", lasts } });
  }
  if (draws.happens(0.4)) {
    const lasts = draws.between(300, 2_000);
    faults.push({
      at: at(),
      fault: { kind: "store_turns_away", node: node(), lasts },
    });
  }
  if (draws.happens(0.4)) {
    const lasts = draws.between(300, 1_500);
    faults.push({
      at: at(),
      fault: { kind: "loses_peers", node: node(), lasts },
    });
  }
  for (let count = draws.between(0, 3); count > 0; count -= 1) {
    const server = draws.between(0, PART_WORLD_SIZE.engines);
    faults.push({ at: at(), fault: { kind: "server_crashes", server } });
  }
  return {
    size: PART_WORLD_SIZE,
    lasts: SCRIPT_MILLISECONDS,
    calls: [
      ...drawCalls(seed, false),
      ...drawCalls(seed, true),
    ].toSorted((one, other) => one.at - other.at),
    faults: faults.toSorted((one, other) => one.at - other.at),
  };
}

function drawCalls(seed: number, isCrashing: boolean): readonly PlannedCall[] {
  const draws = new Draws(seed, isCrashing ? "crashing calls" : "sound calls");
  const pause = isCrashing
    ? CRASHING_PAUSE_MILLISECONDS
    : SOUND_PAUSE_MILLISECONDS;
  const calls: PlannedCall[] = [];
  let at = 0;
  while (at < SCRIPT_MILLISECONDS) {
    const first = draws.between(0, OTHER_FIRST_PARTS + 1);
    calls.push({
      at,
      id: `${isCrashing ? "c" : "p"}${calls.length + 1}`,
      kind: "drafts",
      adapter: draws.between(0, ADAPTERS),
      node: draws.between(0, PART_WORLD_SIZE.nodes),
      caller: draws.between(0, WORLD_SIZE.callers),
      isKept: false,
      sharedParts: [
        isCrashing || first === 0 ? COMMON_PART : `first-${first}`,
        isCrashing ? CRASHING_PART : `second-${draws.between(0, SECOND_PARTS)}`,
      ],
    });
    at += draws.between(1, 2 * pause);
  }
  return calls;
}
