/**
 * Streams that callers resume at other nodes, through releases of software, kills
 * and partitions of nodes, in real time.
 */
import {
  checkShares,
  countShares,
  drawStreamScript,
  RelaySoakRecord,
  runRelaySoak,
} from "@foxtailwind/bench";
import test from "ava";
import { watchExit } from "./helpers/exit_watch.ts";
import {
  isCaught,
  MUTANT_TIMEOUT_MILLISECONDS,
} from "./helpers/relay_mutant.ts";

const STREAM_SEEDS = [1, 2];
/** Of these, only the last one replaces a method of all nodes. */
const MUTANT_GROUPS = [
  [
    "resume a stream at any software version",
    "refuse every stream that is resumed",
  ],
  ["guess the software that began a stream"],
];

test.after.always(watchExit);

// Guards against streams that go on at another software version, and against
// resumed streams that are refused although servers of theirs serve.
test.serial("streams that callers resume keep their software and go on", async (t) => {
  const records: RelaySoakRecord[] = [];
  // One after the other: several at once leave no node free of stalls.
  for (const seed of STREAM_SEEDS) {
    const { record } = await runRelaySoak({ seed, draw: drawStreamScript });
    t.deepEqual(record.broken, []);
    records.push(record);
  }
  const shares = countShares(records);
  t.log(shares);
  t.true(shares.resumed > 0);
  const all = new RelaySoakRecord();
  all.stalls.stop();
  checkShares(all, shares);
  t.deepEqual(all.broken, []);
});

for (const names of MUTANT_GROUPS) {
  test.serial(`the checks notice: ${names.join(", ")}`, async (t) => {
    t.timeout(MUTANT_TIMEOUT_MILLISECONDS);
    await Promise.all(names.map(async (name) => {
      t.true(await isCaught(name), name);
    }));
  });
}
