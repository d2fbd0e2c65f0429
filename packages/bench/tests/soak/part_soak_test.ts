/**
 * Requests with a part that crashes engines, beside sound ones that share the
 * rest of their prompts, through kills of nodes and outages, in real time.
 */
import { countParts, drawPartScript, runRelaySoak } from "@foxtailwind/bench";
import test from "ava";
import { watchExit } from "./helpers/exit_watch.ts";
import {
  isCaught,
  MUTANT_TIMEOUT_MILLISECONDS,
} from "./helpers/relay_mutant.ts";

const PART_SEEDS = [1, 2];
const MUTANTS = [
  "know no parts of prompts",
  "know the first parts of prompts only",
];

test.after.always(watchExit);

// Guards against a part that goes on to crash engines, and against refusing
// sound requests with the same first part.
test.serial("a part that crashes engines is refused and all else is served", async (t) => {
  for (const seed of PART_SEEDS) {
    const { record } = await runRelaySoak({ seed, draw: drawPartScript });
    t.log(countParts(record));
    t.deepEqual(record.broken, []);
    t.true(record.partCrashes.length > 0);
  }
});

test.serial(`the checks notice: ${MUTANTS.join(", ")}`, async (t) => {
  t.timeout(MUTANT_TIMEOUT_MILLISECONDS);
  for (const name of MUTANTS) t.true(await isCaught(name), name);
});
