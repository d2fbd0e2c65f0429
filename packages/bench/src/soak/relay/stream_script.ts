import { Draws } from "./draws.ts";
import type { PlannedFault, RelayFault } from "./relay_fault.ts";
import type { PlannedCall, RelayScript } from "./relay_script.ts";
import { WORLD_SIZE, type WorldSize } from "./world_size.ts";

/** How large the world of the streams' soak is. */
const STREAM_WORLD_SIZE: WorldSize = { nodes: 5, engines: 6, plainServers: 1 };
/** Of the nodes, this many are cut off at the same moment. */
const MASS_CUT_NODES = 3;
const FAULT_MILLISECONDS = 4_400;
const CALL_PAUSE_MILLISECONDS = 9;
const ADAPTERS = 8;

/**
 * Draws a run of streams that callers resume, while software is released, nodes
 * are cut off and servers end.
 * @param seed The seed.
 * @returns The script.
 */
export function drawStreamScript(seed: number): RelayScript {
  const draws = new Draws(seed, "stream faults");
  const faults = [
    ...drawTimes(draws, [1, 3], () => ({
      kind: "release",
      engines: draws.between(1, STREAM_WORLD_SIZE.engines),
      pause: draws.between(0, 400),
    })),
    ...drawTimes(draws, [0, 2], () => ({
      kind: "engine_upgrades",
      engine: draws.between(0, STREAM_WORLD_SIZE.engines),
      unread: draws.between(0, 900),
    })),
    ...drawTimes(draws, [0, 3], () => ({
      kind: "server_crashes",
      server: draws.between(0, STREAM_WORLD_SIZE.engines),
    })),
    ...drawTimes(draws, [0, 3], () => ({
      kind: "several_cut",
      node: drawNode(draws),
      nodes: MASS_CUT_NODES,
    })),
    ...drawTimes(draws, [0, 2], () => ({
      kind: "loses_peers",
      node: drawNode(draws),
      lasts: draws.between(300, 2_000),
    })),
    ...drawTimes(draws, [0, 2], () => ({
      kind: "loses_servers",
      node: drawNode(draws),
      lasts: draws.between(300, 2_000),
    })),
    ...drawTimes(draws, [0, 2], () => ({
      kind: "store_turns_away",
      node: drawNode(draws),
      lasts: draws.between(200, 1_200),
    })),
    ...drawTimes(draws, [0, 2], () => ({
      kind: "stop",
      node: drawNode(draws),
    })),
  ];
  return {
    size: STREAM_WORLD_SIZE,
    calls: drawStreams(seed),
    faults: [...faults, ...drawPowerLosses(seed, faults)]
      .toSorted((one, other) => one.at - other.at),
  };
}

/** All nodes are cut off at the same moment, some of the times in a release. */
function drawPowerLosses(
  seed: number,
  faults: readonly PlannedFault[],
): readonly PlannedFault[] {
  const draws = new Draws(seed, "power losses");
  const releases = faults.filter(({ fault }) => fault.kind === "release");
  return drawTimes(draws, [0, 3], () => ({
    kind: "several_cut",
    node: 0,
    nodes: STREAM_WORLD_SIZE.nodes,
  })).map((loss) =>
    draws.happens(0.5)
      ? { ...loss, at: draws.pick(releases).at + draws.between(0, 600) }
      : loss
  );
}

function drawNode(draws: Draws): number {
  return draws.between(0, STREAM_WORLD_SIZE.nodes);
}

/** Draws how often a fault comes, and when. */
function drawTimes(
  draws: Draws,
  [fewest, end]: readonly [number, number],
  drawFault: () => RelayFault,
): readonly PlannedFault[] {
  return Array.from({ length: draws.between(fewest, end) }, () => ({
    at: draws.between(0, FAULT_MILLISECONDS),
    fault: drawFault(),
  }));
}

function drawStreams(seed: number): readonly PlannedCall[] {
  const draws = new Draws(seed, "streams");
  const calls: PlannedCall[] = [];
  let at = 0;
  while (at < FAULT_MILLISECONDS) {
    calls.push({
      at,
      id: `s${calls.length + 1}`,
      kind: "notes",
      adapter: draws.between(0, ADAPTERS),
      node: drawNode(draws),
      caller: draws.between(0, WORLD_SIZE.callers),
      isKept: draws.happens(0.3),
    });
    at += draws.between(1, 2 * CALL_PAUSE_MILLISECONDS);
  }
  return calls;
}
