import test from "ava";
import { RetryWorld, type RetryWorldFaults } from "./helpers/retry_world.ts";

const SEEDS = 60;
const NO_FAULTS: RetryWorldFaults = {
  kills: false,
  killsAll: false,
  delaysArrivals: false,
  separatesHalves: false,
};

// Guards against more retries than the budget allows while nodes end, restart
// and take each other's callers over, or while requests are held up.
const scenarios: Readonly<Record<string, Partial<RetryWorldFaults>>> = {
  "nothing happens": {},
  "nodes are killed and restart": { kills: true },
  "all nodes are killed at once": { killsAll: true },
  "requests arrive late": { delaysArrivals: true },
  "nodes are killed while halves don't hear each other": {
    kills: true,
    separatesHalves: true,
  },
  "everything happens": {
    kills: true,
    killsAll: true,
    delaysArrivals: true,
    separatesHalves: true,
  },
};

for (const [name, faults] of Object.entries(scenarios)) {
  test(`no window exceeds the retry budget when ${name}`, (t) => {
    for (const requestsPerSecond of [20, 74]) {
      let retries = 0;
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const world = new RetryWorld(
          seed,
          { ...NO_FAULTS, ...faults },
          requestsPerSecond,
        );
        world.run();
        const excess = world.largestExcess();
        t.true(excess <= 0, `${requestsPerSecond}/s, seed ${seed}: ${excess}`);
        retries += world.arrivals.length;
      }
      t.true(retries > SEEDS, `${retries} retries in all seeds`);
    }
  });
}
