import {
  backendServerId,
  contentDigest,
  type CrashSuspicion,
  type Duration,
  instant,
  milliseconds,
  RequestQuarantine,
  serverStart,
  suspectRunTime,
} from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import test from "ava";

const CRASHING = contentDigest("crashing");
const HOUR = 60 * 60 * 1_000;
const RAN: Duration = milliseconds(50);
/** A run that began after the suspicions of a test, and was served. */
const SURVIVED = { begunAt: instant(1), lasted: milliseconds(1_000) };

/** The suspicion that content ended the first start of a server. */
function suspicion(
  server: number,
  content = CRASHING,
  ranFor = RAN,
): CrashSuspicion {
  return {
    content,
    server: backendServerId(`s${server}`),
    start: serverStart(1),
    ranFor,
  };
}

function quarantineOf(suspicions: readonly CrashSuspicion[]) {
  const quarantine = new RequestQuarantine();
  for (const one of suspicions) quarantine.addSuspicion(instant(0), one);
  return quarantine;
}

test("content is refused from its third crash on", (t) => {
  const quarantine = quarantineOf([suspicion(1), suspicion(2)]);
  t.is(quarantine.remainingTime(instant(1), CRASHING), undefined);
  quarantine.addSuspicion(instant(1), suspicion(2));
  t.is(quarantine.remainingTime(instant(1), CRASHING), undefined);
  quarantine.addSuspicion(instant(1), suspicion(3));
  t.is(
    quarantine.remainingTime(instant(1), CRASHING),
    milliseconds(24 * HOUR - 1),
  );
});

test("two starts of a server under the same id count as two crashes", (t) => {
  const again = { ...suspicion(1), start: serverStart(2) };
  const quarantine = quarantineOf([suspicion(1), again, suspicion(2)]);
  t.deepEqual([...quarantine.quarantinedContents(instant(HOUR))], [CRASHING]);
});

test("content that ran beside three explained crashes is not refused", (t) => {
  const beside = contentDigest("beside");
  const quarantine = quarantineOf(
    [1, 2, 3].flatMap((server) => [
      suspicion(server, beside),
      suspicion(server),
    ]).concat(suspicion(4)),
  );
  t.deepEqual([...quarantine.quarantinedContents(instant(HOUR))], [CRASHING]);
});

test("of two contents with the same crashes, the one that ran shorter is refused", (t) => {
  const beside = contentDigest("beside");
  const quarantine = quarantineOf(
    [1, 2, 3].flatMap((server) => [
      suspicion(server, beside, milliseconds(400)),
      suspicion(server),
    ]),
  );
  t.deepEqual([...quarantine.quarantinedContents(instant(HOUR))], [CRASHING]);
});

test("two contents that crash servers are both refused", (t) => {
  const other = contentDigest("other");
  const quarantine = quarantineOf([
    ...[1, 2, 3].map((server) => suspicion(server)),
    ...[4, 5, 6].map((server) => suspicion(server, other)),
  ]);
  t.deepEqual(
    quarantine.quarantinedContents(instant(HOUR)),
    new Set([CRASHING, other]),
  );
});

test("content that was served is no longer suspected", (t) => {
  const quarantine = quarantineOf([suspicion(1), suspicion(2), suspicion(3)]);
  t.is(quarantine.recordSurvival(SURVIVED, [CRASHING]).length, 3);
  t.true(quarantine.isEmpty);
  t.is(quarantine.remainingTime(instant(1), CRASHING), undefined);
});

test("a run that goes on writing to the registry did not crash", (t) => {
  const quarantine = quarantineOf([suspicion(1), suspicion(2), suspicion(3)]);
  const id = backendServerId("s1");
  const start = serverStart(1);
  t.is(quarantine.recordServerWrite(instant(500), id, start).length, 0);
  t.is(quarantine.recordServerWrite(instant(600), id, start).length, 0);
  t.is(
    quarantine.recordServerWrite(instant(2_000), id, serverStart(2)).length,
    0,
  );
  t.is(
    quarantine.quarantinedContents(instant(HOUR)).size,
    1,
    "Written before its end, and read late.",
  );
  t.is(quarantine.recordServerWrite(instant(3_100), id, start).length, 1);
  t.is(quarantine.quarantinedContents(instant(HOUR)).size, 0);
});

test("retaining a listing removes all other suspicions", (t) => {
  const quarantine = quarantineOf([suspicion(1), suspicion(2), suspicion(3)]);
  quarantine.retainOnly([suspicion(1), suspicion(3)]);
  t.is(quarantine.quarantinedContents(instant(HOUR)).size, 0);
  quarantine.addSuspicion(instant(1), suspicion(4));
  t.is(quarantine.quarantinedContents(instant(HOUR)).size, 1);
});

test("coincidental suspicions expire in minutes, crashing contents in a day", (t) => {
  const beside = contentDigest("beside");
  const quarantine = quarantineOf([
    ...[1, 2, 3].map((server) => suspicion(server)),
    suspicion(1, beside),
  ]);
  t.deepEqual(quarantine.expire(instant(HOUR)), [suspicion(1, beside)]);
  t.is(quarantine.quarantinedContents(instant(HOUR)).size, 1);
  t.is(quarantine.expire(instant(24 * HOUR)).length, 3);
  t.true(quarantine.isEmpty);
});

test("a request that had run for seconds is not suspect, a queued one is", (t) => {
  t.is(suspectRunTime(milliseconds(50)), milliseconds(50));
  t.is(suspectRunTime(milliseconds(1_500)), undefined);
  t.is(suspectRunTime(undefined), milliseconds(1_000));
});

test("only the crashing request of a load is refused, within four crashes", (t) => {
  const servers = 8;
  for (let seed = 1; seed <= 20; seed += 1) {
    const random = new SeededRandom(seed);
    const quarantine = new RequestQuarantine();
    let crashes = 0;
    let others = 0;
    for (let second = 0; second < 60; second += 1) {
      const now = instant(second * 1_000);
      if (quarantine.remainingTime(now, CRASHING) !== undefined) continue;
      crashes += 1;
      const run = { start: serverStart(second) };
      const server = Math.floor(random.next() * servers);
      quarantine.addSuspicion(now, { ...suspicion(server), ...run });
      // Some of the requests that ran beside it repeat and meet the next crash.
      for (let index = 0; index < 12; index += 1) {
        const isAgain = random.next() < 0.3;
        const name = isAgain ? others - index : (others += 1);
        const ranFor = milliseconds(random.next() * 1_000);
        const content = contentDigest(`other-${name}`);
        quarantine.addSuspicion(now, {
          ...suspicion(server, content, ranFor),
          ...run,
        });
      }
    }
    t.true(crashes <= 4, `seed ${seed}: ${crashes} crashes`);
    t.deepEqual(
      [...quarantine.quarantinedContents(instant(HOUR))],
      [CRASHING],
      `seed ${seed}`,
    );
  }
});
