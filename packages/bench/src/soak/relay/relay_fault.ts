import { Draws } from "./draws.ts";
import { drawAdapter, WORLD_SIZE } from "./world_size.ts";

/** A fault; nodes, engines and servers are numbers to be taken in turn. */
export type RelayFault =
  | { readonly kind: "store_down"; readonly lasts: number }
  | {
    readonly kind: "store_turns_away";
    readonly node: number;
    readonly lasts: number;
  }
  | { readonly kind: "store_forgets"; readonly lasts: number }
  | {
    /** The store comes back from an older copy. */
    readonly kind: "store_returns";
    /** How old the copy is, in milliseconds. */
    readonly age: number;
  }
  | {
    readonly kind: "takeover";
    readonly engine: number;
    readonly node: number;
    /** How long the store doesn't answer the owner before. */
    readonly unseenFor?: number;
  }
  | {
    readonly kind: "server_leaves" | "server_crashes";
    readonly server: number;
  }
  | {
    readonly kind: "server_announces";
    readonly server: number;
    /** How long the store isn't told, in milliseconds. */
    readonly untold: number;
  }
  | {
    readonly kind: "server_restarts";
    readonly server: number;
    /** Until its first entry is there, in milliseconds. */
    readonly unread: number;
  }
  | {
    readonly kind: "orders_late";
    readonly engine: number;
    readonly lasts: number;
  }
  | {
    readonly kind: "release";
    /** How many engines get the next software. */
    readonly engines: number;
    /** Between two of them, in milliseconds. */
    readonly pause: number;
  }
  | {
    /** An engine restarts under its id with the next software. */
    readonly kind: "engine_upgrades";
    readonly engine: number;
    /** Until its first entry is there, in milliseconds. */
    readonly unread: number;
  }
  | {
    readonly kind: "several_cut";
    /** The first of the nodes, and how many are cut off at the same moment. */
    readonly node: number;
    readonly nodes: number;
  }
  | {
    /** A node and its peers don't reach each other. */
    readonly kind: "loses_peers";
    readonly node: number;
    readonly lasts: number;
  }
  | { readonly kind: "stop" | "cut"; readonly node: number }
  | {
    readonly kind: "loses_servers";
    readonly node: number;
    readonly lasts: number;
  }
  | { readonly kind: "version"; readonly adapter: number }
  | { readonly kind: "route_moves" | "foreign_record" };

/** A fault and its time, in milliseconds after the script's begin. */
export interface PlannedFault {
  readonly at: number;
  readonly fault: RelayFault;
}

/** Faults begin within this time. */
const FAULT_MILLISECONDS = 4_400;
const FEWEST_FAULTS = 9;
const MOST_FAULTS = 18;
const MOST_RESTARTS = 4;
const MOST_ANNOUNCEMENTS = 2;
const MOST_UNTOLD_MILLISECONDS = 3_000;
const MOST_UNREAD_MILLISECONDS = 900;
const MOST_RELEASES = 2;
const MOST_RELEASE_PAUSE_MILLISECONDS = 400;
const MOST_UPGRADES = 1;
const MOST_MASS_CUTS = 1;
const MOST_LOST_SERVERS = 2;
const MOST_LOST_MILLISECONDS = 4_000;
const FAULT_KINDS = [
  "store_down",
  "store_turns_away",
  "store_turns_away",
  "store_forgets",
  "takeover",
  "takeover",
  "takeover",
  "server_leaves",
  "server_leaves",
  "server_crashes",
  "orders_late",
  "orders_late",
  "stop",
  "cut",
  "version",
  "version",
  "version",
  "route_moves",
  "foreign_record",
] as const;

/**
 * Draws the faults of a run.
 * @param seed The seed.
 * @returns The faults in the order of their times.
 */
export function drawRelayFaults(seed: number): readonly PlannedFault[] {
  const faults = [
    ...drawFaults(seed),
    ...drawRestarts(seed),
    ...drawAnnouncements(seed),
    ...drawLostServers(seed),
    ...drawReleases(seed),
    ...drawMassCuts(seed),
  ];
  return faults.toSorted((one, other) => one.at - other.at);
}

function planFaults(
  draws: Draws,
  count: number,
  draw: () => RelayFault,
): readonly PlannedFault[] {
  return Array.from({ length: count }, () => ({
    at: draws.between(0, FAULT_MILLISECONDS),
    fault: draw(),
  }));
}

function drawFaults(seed: number): readonly PlannedFault[] {
  const draws = new Draws(seed, "faults");
  const count = draws.between(FEWEST_FAULTS, MOST_FAULTS + 1);
  return planFaults(draws, count, () => drawFault(draws));
}

/** Some begin before the entry of the one before is there. */
function drawRestarts(seed: number): readonly PlannedFault[] {
  const draws = new Draws(seed, "restarts");
  const count = draws.between(0, MOST_RESTARTS + 1);
  return planFaults(draws, count, () => ({
    kind: "server_restarts",
    server: draws.between(0, WORLD_SIZE.engines + WORLD_SIZE.plainServers),
    unread: draws.between(0, MOST_UNREAD_MILLISECONDS),
  }));
}

/** Departures that answers announce before the store does. */
function drawAnnouncements(seed: number): readonly PlannedFault[] {
  const draws = new Draws(seed, "announcements");
  const count = draws.between(1, MOST_ANNOUNCEMENTS + 1);
  return planFaults(draws, count, () => ({
    kind: "server_announces",
    server: draws.between(0, WORLD_SIZE.engines + WORLD_SIZE.plainServers),
    untold: draws.between(0, MOST_UNTOLD_MILLISECONDS),
  }));
}

/** Software of several versions, under new ids and under known ones. */
function drawReleases(seed: number): readonly PlannedFault[] {
  const draws = new Draws(seed, "releases");
  const releases = planFaults(
    draws,
    draws.between(1, MOST_RELEASES + 1),
    () => ({
      kind: "release",
      engines: draws.between(1, WORLD_SIZE.engines),
      pause: draws.between(0, MOST_RELEASE_PAUSE_MILLISECONDS),
    }),
  );
  const upgrades = planFaults(
    draws,
    draws.between(0, MOST_UPGRADES + 1),
    () => ({
      kind: "engine_upgrades",
      engine: draws.between(0, WORLD_SIZE.engines),
      unread: draws.between(0, MOST_UNREAD_MILLISECONDS),
    }),
  );
  return [...releases, ...upgrades];
}

/** All nodes but one are cut off at the same moment. */
function drawMassCuts(seed: number): readonly PlannedFault[] {
  const draws = new Draws(seed, "mass cuts");
  return planFaults(draws, draws.between(0, MOST_MASS_CUTS + 1), () => ({
    kind: "several_cut",
    node: draws.between(0, WORLD_SIZE.nodes),
    nodes: WORLD_SIZE.nodes - 1,
  }));
}

/** Nodes that reach no server, at times several at once. */
function drawLostServers(seed: number): readonly PlannedFault[] {
  const draws = new Draws(seed, "lost servers");
  const count = draws.between(1, MOST_LOST_SERVERS + 1);
  return planFaults(draws, count, () => ({
    kind: "loses_servers",
    node: draws.between(0, WORLD_SIZE.nodes),
    lasts: draws.between(1_500, MOST_LOST_MILLISECONDS),
  }));
}

function drawFault(draws: Draws): RelayFault {
  const kind = draws.pick(FAULT_KINDS);
  const lasts = draws.between(200, 1_200);
  const engine = draws.between(0, WORLD_SIZE.engines);
  const node = draws.between(0, WORLD_SIZE.nodes);
  switch (kind) {
    case "store_down":
    case "store_forgets":
      return { kind, lasts };
    case "store_turns_away":
      return { kind, node, lasts };
    case "takeover":
      return draws.happens(0.7)
        ? { kind, engine, node, unseenFor: 2 * lasts }
        : { kind, engine, node };
    case "server_leaves":
    case "server_crashes":
      return {
        kind,
        server: draws.between(0, WORLD_SIZE.engines + WORLD_SIZE.plainServers),
      };
    case "orders_late":
      return { kind, engine, lasts };
    case "stop":
    case "cut":
      return { kind, node };
    case "version":
      return { kind, adapter: drawAdapter(draws) };
    case "route_moves":
    case "foreign_record":
      return { kind };
  }
}
