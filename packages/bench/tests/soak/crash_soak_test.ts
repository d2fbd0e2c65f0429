import {
  CRASH_CAUSES,
  CRASH_MUTANTS,
  runCrashSoak,
  type SoakRun,
} from "@foxtailwind/bench";
import test from "ava";

const SEEDS = Array.from({ length: 8 }, (_, index) => index + 1);
/** The seeds within which a mutant must be noticed. */
const MUTANT_SEEDS = SEEDS.slice(0, 4);
/** The share of sound requests that is aimed for, over all seeds. */
const AIMED_SHARE = 0.95;

// Guards against parts that go on to crash servers after five, and against
// refusing sound requests that share other parts with them.
for (const cause of CRASH_CAUSES) {
  test(`what crashes servers is found and all else is served: ${cause}`, (t) => {
    const runs = SEEDS.map((seed) => runCrashSoak(seed, {}, cause));
    t.deepEqual(runs.flatMap(({ finding }) => finding ?? []), []);
    const sharing = sumCounts(runs, "sharing");
    t.true(sumCounts(runs, "sharing_begun") >= sharing * AIMED_SHARE);
  });
}

for (const { name, cause, rules } of CRASH_MUTANTS) {
  test(`the checks notice if ${name}`, (t) => {
    t.true(
      MUTANT_SEEDS.some((seed) =>
        runCrashSoak(seed, rules, cause).finding !== undefined
      ),
    );
  });
}

// Guards against sound requests that are refused because servers which run on
// reset single connections.
test("too few sound requests begin if resets are taken for ends", (t) => {
  const shareWith = (takesResetsForEnds: boolean): number => {
    const runs = MUTANT_SEEDS.map((seed) =>
      runCrashSoak(seed, { takesResetsForEnds }, "second part and resets")
    );
    return sumCounts(runs, "sharing_begun") / sumCounts(runs, "sharing");
  };
  t.true(shareWith(true) < AIMED_SHARE);
  t.true(shareWith(false) >= AIMED_SHARE);
});

function sumCounts(runs: readonly SoakRun[], name: string): number {
  return runs.reduce((total, { counts }) => total + (counts?.[name] ?? 0), 0);
}
