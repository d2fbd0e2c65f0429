import {
  backendServerId,
  contentDigest,
  type CrashSuspicion,
  instant,
  milliseconds,
  RequestQuarantine,
  serverStart,
} from "@foxtailwind/core";
import test from "ava";

const FIRST = contentDigest("first");
const SECOND = contentDigest("second");
/** Later than a part is blamed after its first crash. */
const SETTLED = instant(10_000);

/** The suspicions of a request, none of whose content comes again. */
function suspicionsOf(
  crash: number,
  parts: readonly string[],
  ranFor = 80,
): readonly CrashSuspicion[] {
  const run = {
    server: backendServerId(`s${crash}`),
    start: serverStart(1),
    ranFor: milliseconds(ranFor),
  };
  const content = contentDigest(`content-${crash}-${parts.join("-")}`);
  return [
    { ...run, content },
    ...parts.map((part, partPosition) => ({
      ...run,
      content: contentDigest(part),
      partPosition,
    })),
  ];
}

/** Records crashes under requests; each crash has some. */
function crashedBy(
  requests: readonly (readonly (readonly string[])[])[],
): RequestQuarantine {
  const quarantine = new RequestQuarantine();
  requests.forEach((running, crash) => {
    for (const parts of running) {
      for (const suspicion of suspicionsOf(crash, parts)) {
        quarantine.addSuspicion(instant(crash), suspicion);
      }
    }
  });
  return quarantine;
}

test("a part is blamed once it has been under three crashes, half a second after the first", (t) => {
  const quarantine = crashedBy([
    [["first", "second"], ["first", "a"]],
    [["first", "second"], ["other", "b"]],
    [["first", "second"]],
  ]);
  t.is(quarantine.remainingTime(instant(499), SECOND), undefined);
  t.not(quarantine.remainingTime(instant(500), SECOND), undefined);
  t.deepEqual([...quarantine.quarantinedContents(SETTLED)], [SECOND]);
});

test("a first part is blamed if no later one explains its crashes", (t) => {
  const quarantine = crashedBy([
    [["first", "a"]],
    [["first", "b"]],
    [["first", "a"]],
    [["first", "c"]],
  ]);
  t.deepEqual([...quarantine.quarantinedContents(SETTLED)], [FIRST]);
});

test("two parts that crash servers, also the same one, are both blamed", (t) => {
  const quarantine = crashedBy([
    [["first", "second"], ["first", "third"]],
    [["first", "second"]],
    [["first", "third"]],
    [["first", "second"]],
    [["first", "third"]],
    [["first", "third"]],
    [["first", "second"]],
  ]);
  const run = { begunAt: instant(7), lasted: milliseconds(1_000) };
  quarantine.recordSurvival(run, [FIRST]);
  t.deepEqual(
    [...quarantine.quarantinedContents(SETTLED)].toSorted(),
    [SECOND, contentDigest("third")],
  );
});

test("a part is the same one at any position and under any first part", (t) => {
  const quarantine = crashedBy([
    [["first", "second"]],
    [["other", "second"]],
    [["other", "middle", "second"]],
  ]);
  t.deepEqual([...quarantine.quarantinedContents(SETTLED)], [SECOND]);
});

test("a run that began before a crash doesn't speak for its parts", (t) => {
  const quarantine = crashedBy([
    [["first", "second"]],
    [["first", "second"]],
    [["first", "second"]],
  ]);
  const lasted = milliseconds(1_000);
  const before = { begunAt: instant(1), lasted };
  t.is(quarantine.recordSurvival(before, [SECOND]).length, 1, "The first.");
  const after = { begunAt: instant(3), lasted };
  t.is(quarantine.recordSurvival(after, [FIRST, SECOND]).length, 5);
  t.is(quarantine.quarantinedContents(SETTLED).size, 0);
});

test("a part that was fine is blamed once it comes to crash servers", (t) => {
  const quarantine = crashedBy([[["first", "second"]]]);
  const run = { begunAt: instant(2), lasted: milliseconds(1_000) };
  quarantine.recordSurvival(run, [FIRST, SECOND]);
  for (const crash of [5, 6, 7]) {
    for (const suspicion of suspicionsOf(crash, ["first", "second"])) {
      quarantine.addSuspicion(instant(crash * 1_000), suspicion);
    }
  }
  t.true(quarantine.quarantinedContents(SETTLED).has(SECOND));
});

test("a short run speaks only against suspects that ran for half its time", (t) => {
  const quarantine = new RequestQuarantine();
  for (const [crash, ranFor] of [100, 200].entries()) {
    for (const one of suspicionsOf(crash, ["first"], ranFor)) {
      quarantine.addSuspicion(instant(0), one);
    }
  }
  const run = { begunAt: instant(1), lasted: milliseconds(300) };
  const cleared = quarantine.recordSurvival(run, [FIRST]);
  t.deepEqual(cleared.map(({ ranFor }) => ranFor), [milliseconds(100)]);
});

// Guards against a sound part that is blamed before any run with it has lasted
// long enough to clear it.
test("runs begun since its crashes clear a part of requests that had no answer, also once it is refused", (t) => {
  const quarantine = new RequestQuarantine();
  const unanswered = 1_000;
  for (const crash of [1, 2, 3]) {
    for (const one of suspicionsOf(crash, ["first"], unanswered)) {
      quarantine.addSuspicion(instant(0), one);
    }
  }
  t.not(quarantine.remainingTime(instant(520), FIRST), undefined);
  const begunAt = instant(80);
  quarantine.recordSurvival({ begunAt, lasted: milliseconds(300) }, [FIRST]);
  t.not(quarantine.remainingTime(instant(520), FIRST), undefined);
  quarantine.recordSurvival({ begunAt, lasted: milliseconds(450) }, [FIRST]);
  t.is(quarantine.remainingTime(instant(530), FIRST), undefined);
});

test("a part is refused for an hour, a content for a day", (t) => {
  const quarantine = crashedBy([
    [["first", "second"]],
    [["first", "second"]],
    [["first", "second"]],
  ]);
  const hour = 60 * 60 * 1_000;
  quarantine.expire(instant(hour - 1));
  t.not(quarantine.remainingTime(instant(hour - 1), SECOND), undefined);
  quarantine.expire(instant(hour + 2));
  t.is(quarantine.remainingTime(instant(hour + 2), SECOND), undefined);
});

test("suspicions take bounded memory at any rate of new parts", (t) => {
  const quarantine = new RequestQuarantine();
  for (let crash = 0; crash < 60; crash += 1) {
    const parts = Array.from({ length: 250 }, (_, part) => `${crash}-${part}`);
    for (const suspicion of suspicionsOf(crash, parts)) {
      quarantine.addSuspicion(instant(crash), suspicion);
    }
  }
  t.true(quarantine.expire(instant(2 * 60 * 60 * 1_000)).length <= 10_000);
  t.true(quarantine.isEmpty);
});

// Guards against a wide part that is refused for a crash of another cause.
test("a first part is not blamed for one more crash than a later part explains", (t) => {
  const quarantine = crashedBy([
    [["first", "second"]],
    [["first", "second"]],
    [["first", "second"]],
    [["first", "a"], ["other", "b"]],
  ]);
  t.deepEqual([...quarantine.quarantinedContents(SETTLED)], [SECOND]);
});

// Guards against a wide part that is refused since a crash of the narrower one
// was not seen.
test("a first part is not blamed while a later part explains most of its crashes", (t) => {
  const quarantine = crashedBy([
    [["first", "second"]],
    [["first", "second"]],
    [["first", "a"]],
  ]);
  t.deepEqual([...quarantine.quarantinedContents(SETTLED)], []);
  for (const suspicion of suspicionsOf(9, ["first", "second"])) {
    quarantine.addSuspicion(instant(9), suspicion);
  }
  t.deepEqual([...quarantine.quarantinedContents(SETTLED)], [SECOND]);
});
