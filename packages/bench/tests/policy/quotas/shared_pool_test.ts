import {
  emulateQuota,
  QUOTA_SCENARIOS,
  QUOTA_WAYS,
  type QuotaScenario,
} from "@foxtailwind/bench";
import { SeededRandom } from "@foxtailwind/standins";
import test from "ava";

const SEEDS = [1, 2, 3];
const NODE_COUNTS = [6, 12, 24];
/** Refusals of requests within a quota in the usual load. */
const MAXIMUM_FALSE_REFUSALS = 0.02;

function play(scenario: QuotaScenario, nodes: number, seed: number) {
  const create = QUOTA_WAYS.get("shared pool");
  if (create === undefined) throw new RangeError("There is no shared pool.");
  return emulateQuota(scenario, { nodes, seed, create });
}

/** Draws a load, a quota and a fault of some nodes. */
function drawScenario(seed: number): QuotaScenario {
  const random = new SeededRandom(seed);
  const rate = 18_000 + random.next() * 300_000;
  const fromSecond = 5 + Math.floor(random.next() * 20);
  const kinds = ["cut", "frozen", "killed"] as const;
  return {
    name: `seed ${seed}`,
    quota: { rate, burst: rate, slack: 72_000 },
    demand: 0.3 + random.next() * 0.5,
    surge: 1 + random.next() * 7,
    skew: random.next() * 2,
    fault: {
      kind: kinds[Math.floor(random.next() * kinds.length)] ?? "cut",
      share: random.next(),
      fromSecond,
      untilSecond: fromSecond + 2 + Math.floor(random.next() * 12),
    },
  };
}

test("no window exceeds a quota by more than its tolerance, in surges, cuts, freezes, kills and under a lowered quota", (t) => {
  for (const scenario of QUOTA_SCENARIOS) {
    for (const nodes of NODE_COUNTS) {
      for (const seed of SEEDS) {
        const { highestUse } = play(scenario, nodes, seed);
        t.true(
          highestUse <= 1,
          `${scenario.name}, ${nodes} nodes, seed ${seed}: ${highestUse}`,
        );
      }
    }
  }
});

test("no window exceeds a quota by more than its tolerance, under drawn loads and faults", (t) => {
  for (let seed = 1; seed <= 60; seed += 1) {
    const { highestUse } = play(drawScenario(seed), 3 + seed % 22, seed);
    t.true(highestUse <= 1, `seed ${seed}: ${highestUse}`);
  }
});

test("hardly any request within a quota is refused, however callers are spread", (t) => {
  for (const scenario of QUOTA_SCENARIOS.slice(0, 4)) {
    for (const nodes of NODE_COUNTS) {
      const results = SEEDS.map((seed) => play(scenario, nodes, seed));
      const exact = results.reduce((sum, one) => sum + one.exactTokens, 0);
      const admitted = results.reduce(
        (sum, one) => sum + one.admittedTokens,
        0,
      );
      t.true(
        admitted >= (1 - MAXIMUM_FALSE_REFUSALS) * exact,
        `${scenario.name}, ${nodes} nodes: ${admitted / exact}`,
      );
    }
  }
});
