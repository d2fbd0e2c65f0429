import {
  backendServerId,
  contentDigest,
  CrashBursts,
  instant,
  milliseconds,
  serverStart,
} from "@foxtailwind/core";
import test from "ava";

/** Returns the suspicions against a request with one shared part. */
function suspicionsAt(server: string, start = 1) {
  const run = {
    server: backendServerId(server),
    start: serverStart(start),
    ranFor: milliseconds(80),
  };
  return [
    { ...run, content: contentDigest("whole") },
    { ...run, content: contentDigest("part"), partPosition: 0 },
  ];
}

/** Returns the servers of the suspicions against the part. */
function attributeParts(
  ends: readonly (readonly [at: number, server: string])[],
): readonly string[] {
  const bursts = new CrashBursts();
  return ends.flatMap(([at, server]) => {
    const [whole, part] = bursts.attribute(instant(at), suspicionsAt(server));
    if (whole?.server !== server) throw new RangeError("A content was moved.");
    return part?.server ?? [];
  });
}

test("crashes within 200 ms of the first are one to parts, and each their own to contents", (t) => {
  t.deepEqual(
    attributeParts([[1_000, "a"], [1_100, "b"], [1_200, "c"], [1_201, "d"]]),
    ["a", "a", "a", "d"],
  );
});

test("crashes that come one after another are separate", (t) => {
  t.deepEqual(
    attributeParts([[1_000, "a"], [1_300, "b"], [1_600, "a"]]),
    ["a", "b", "a"],
  );
});

test("the start of a server goes along with its id", (t) => {
  const bursts = new CrashBursts();
  bursts.attribute(instant(0), suspicionsAt("a", 7));
  const [whole, part] = bursts.attribute(instant(10), suspicionsAt("b", 8));
  t.like(whole, { server: "b", start: 8 });
  t.like(part, { server: "a", start: 7 });
});
