/**
 * Relays on stand-ins while the store comes back from older copies and servers
 * leave in a row, in real time.
 */
import { drawReturnScript, runRelaySoak } from "@foxtailwind/bench";
import test from "ava";
import { watchExit } from "./helpers/exit_watch.ts";

const SEEDS = [1, 2, 3];

test.after.always(watchExit);

// Guards against nodes that compare offsets from before a return with those
// that are given out after it.
test.serial("no invariant breaks through returns of the store from older copies", async (t) => {
  const runs = await Promise.all(
    SEEDS.map((seed) => runRelaySoak({ seed, draw: drawReturnScript })),
  );
  for (const { record, orders } of runs) {
    t.deepEqual(record.broken, []);
    t.true(orders > 0);
  }
});
