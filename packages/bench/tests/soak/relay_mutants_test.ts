/**
 * Deliberate faults of relays, which the checks of the relay's soak notice. Runs
 * of one group go at once, as they wait for most of their time.
 */
import test from "ava";
import { watchExit } from "./helpers/exit_watch.ts";
import {
  isCaught,
  MUTANT_TIMEOUT_MILLISECONDS,
} from "./helpers/relay_mutant.ts";

const AT_ONCE = 4;
const MUTANTS = [
  "take requests late at a stop",
  "end a stop with a bare close",
  "retry what may have run",
  "leave out the check of an answer's id",
  "overfill an engine's slots",
  "overfill an engine's memory",
  "keep the routes of the first configuration",
  "send to a server that leaves",
  "disregard departures that answers announce",
  "disregard backoffs",
  "compare offsets of two eras",
];

test.after.always(watchExit);

for (let from = 0; from < MUTANTS.length; from += AT_ONCE) {
  const names = MUTANTS.slice(from, from + AT_ONCE);
  test.serial(`the checks notice: ${names.join(", ")}`, async (t) => {
    t.timeout(MUTANT_TIMEOUT_MILLISECONDS);
    await Promise.all(names.map(async (name) => {
      t.true(await isCaught(name), name);
    }));
  });
}

// It replaces a method of all nodes in this process, so it goes alone.
test.serial("the checks notice: pass an answer without its end as whole", async (t) => {
  t.timeout(MUTANT_TIMEOUT_MILLISECONDS);
  t.true(await isCaught("pass an answer without its end as whole"));
});
