import { DeliveryRules, InvariantViolation } from "@foxtailwind/core";
import { KeyWorld } from "./key_world.ts";
import { OutcomeTimeline } from "./outcome_timeline.ts";
import { StreamWorld } from "./stream_world.ts";

/** What one randomised run is made of. */
export interface OutcomeSoakOptions {
  readonly seed: number;
  /** How many acts are run before all faults end. */
  readonly steps: number;
  readonly rules?: DeliveryRules;
}

/** What a run did, and the invariant that it broke, if any. */
export interface OutcomeSoakRun {
  /** How often a request with a key ran. */
  readonly orders: number;
  readonly finding?: {
    readonly seed: number;
    readonly invariant: string;
    readonly detail: string;
  };
}

const FEWEST_NODES = 3;
const MOST_NODES = 9;
const SEND_MILLISECONDS = 25;
const FAULT_MILLISECONDS = 400;
const OUTAGE_MILLISECONDS = 250;
const SETTLE_MILLISECONDS = 4_000;

/**
 * Runs nodes, engines, a service and a log through random faults, and checks
 * what callers were told against what really ran.
 * @param options The seed, the length and the rules.
 * @returns What the run did.
 */
export function runOutcomeSoak(options: OutcomeSoakOptions): OutcomeSoakRun {
  const { seed, rules = new DeliveryRules() } = options;
  const timeline = new OutcomeTimeline(seed);
  const spread = MOST_NODES - FEWEST_NODES + 1;
  const nodes = FEWEST_NODES + Math.floor(timeline.random.next() * spread);
  const keys = new KeyWorld(timeline, rules, nodes);
  const streams = new StreamWorld(timeline, rules);
  try {
    runFaults({ timeline, keys, streams }, options.steps);
    settle({ timeline, keys, streams });
  } catch (error) {
    if (!(error instanceof InvariantViolation)) throw error;
    const { invariant, message } = error;
    return { orders: keys.runs, finding: { seed, invariant, detail: message } };
  }
  return { orders: keys.runs };
}

interface World {
  readonly timeline: OutcomeTimeline;
  readonly keys: KeyWorld;
  readonly streams: StreamWorld;
}

function runFaults(world: World, steps: number): void {
  const { timeline, keys, streams } = world;
  let isOver = false;
  const repeat = (milliseconds: number, act: () => void): void => {
    timeline.soon(milliseconds, () => {
      if (isOver) return;
      act();
      repeat(milliseconds, act);
    });
  };
  repeat(SEND_MILLISECONDS, () => {
    keys.sendRequest();
  });
  repeat(SEND_MILLISECONDS, () => {
    streams.sendRequest();
  });
  repeat(FAULT_MILLISECONDS, () => {
    keys.restartNode();
  });
  repeat(FAULT_MILLISECONDS * 3, () => {
    keys.setOutage(true);
    timeline.soon(OUTAGE_MILLISECONDS, () => {
      keys.setOutage(false);
    });
  });
  for (let step = 0; step < steps; step += 1) timeline.step();
  isOver = true;
  keys.check();
  streams.check();
}

/** All faults have ended: every caller must get its final answer. */
function settle({ timeline, keys, streams }: World): void {
  keys.setOutage(false);
  const end = timeline.now + SETTLE_MILLISECONDS;
  while (timeline.now < end && timeline.step());
  keys.check();
  streams.check();
  keys.checkEnds();
  streams.checkEnds();
}
