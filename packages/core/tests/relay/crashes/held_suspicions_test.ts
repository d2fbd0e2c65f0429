import { standInRegistryEntry } from "@foxtailwind/bench";
import {
  backendServerId,
  contentDigest,
  CrashBursts,
  type CrashSuspicion,
  type HeldCall,
  HeldSuspicions,
  instant,
  milliseconds,
  type ProbeOutcome,
  RequestQuarantine,
  serverStart,
  serviceId,
  type Suspect,
} from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import test from "ava";

const PART = contentDigest("part");
const NOT_HEARD = { isHeard: false, probe: undefined };
const SETTLED = 250;

/** Returns a server as the registry knows it. */
function serverOf(id: string, start = 1, address = `${id}:80`) {
  return standInRegistryEntry({
    id,
    service: serviceId("service"),
    address,
    start: serverStart(start),
  });
}

/** Returns a call that broke, with one shared part. */
function callOf(id: string, brokeAt = 0, suspects: readonly Suspect[] = [
  { content: PART, partPosition: 0 },
]): HeldCall {
  const server = serverOf(id);
  return {
    server,
    brokeAt: instant(brokeAt),
    wasRegistered: true,
    suspicions: suspects.map((suspect): CrashSuspicion => ({
      ...suspect,
      server: backendServerId(id),
      start: serverStart(1),
      ranFor: milliseconds(1_000),
    })),
  };
}

/** Holds calls, and settles them by a probe. */
function holdSettled(probe: ProbeOutcome, ...calls: readonly HeldCall[]) {
  const held = new HeldSuspicions();
  for (const call of calls) held.add(call);
  const verdicts = calls.map((call) => {
    const verdict = held.judge(call, { isHeard: false, probe });
    held.settle(instant(SETTLED), call, verdict);
    return verdict.kind;
  });
  return { held, verdicts };
}

test("a call that breaks alone shows nothing of its server until that is known", (t) => {
  const held = new HeldSuspicions();
  const call = callOf("s1");
  held.add(call);
  const kindWith = (probe: ProbeOutcome | undefined, isHeard = false) =>
    held.judge(call, { isHeard, probe }).kind;
  t.is(kindWith(undefined), "unknown");
  t.is(kindWith(undefined, true), "alive");
  t.is(kindWith("accepted"), "alive");
  t.is(kindWith("refused"), "ended");
  t.is(kindWith("reset"), "unknown");
  t.is(kindWith("unanswered"), "unknown");
  t.is(kindWith("refused", true), "alive", "It closes, and goes on answering.");
});

test("several connections that break at once have ended with a server that takes no others", (t) => {
  const apart = [callOf("s1", 0), callOf("s1", 201)];
  t.deepEqual(holdSettled("reset", ...apart).verdicts, ["unknown", "unknown"]);
  const others = [callOf("s1"), callOf("s2")];
  t.deepEqual(holdSettled("reset", ...others).verdicts, ["unknown", "unknown"]);
  const atOnce = [callOf("s1", 0), callOf("s1", 200)];
  t.deepEqual(holdSettled("reset", ...atOnce).verdicts, ["ended", "ended"]);
  t.deepEqual(holdSettled("accepted", ...atOnce).verdicts, ["alive", "alive"]);
  const longRun = callOf("s1", 10, []);
  t.is(holdSettled("reset", longRun, callOf("s1")).verdicts[1], "ended");
  t.deepEqual(
    atOnce.map((call) => new HeldSuspicions().judge(call, NOT_HEARD).kind),
    ["unknown", "unknown"],
  );
});

test("a server that accepted a connection has ended if the registry names another start soon", (t) => {
  const restarted = [serverOf("s1", 2)];
  const replaced = [serverOf("s1"), serverOf("s9", 1, "s1:80")].slice(1);
  for (const servers of [restarted, replaced]) {
    const { held } = holdSettled("accepted", callOf("s1"));
    t.true(held.isEmpty);
    t.deepEqual(held.applyRegistry(instant(300), [serverOf("s1")]), []);
    const [ended] = held.applyRegistry(instant(2_000), servers);
    t.is(ended?.evidence, "restarted");
    t.deepEqual(held.applyRegistry(instant(2_000), servers), []);
  }
  const { held } = holdSettled("accepted", callOf("s1"));
  t.deepEqual(held.applyRegistry(instant(3_000), restarted), []);
  t.false(held.holdsCalls);
});

test("a server that took no connection at first may have started again for longer", (t) => {
  const restarted = [serverOf("s1", 2)];
  const held = new HeldSuspicions();
  const call = callOf("s1");
  held.add(call);
  const signs = { isHeard: false, probe: "accepted", wasSilent: true } as const;
  held.settle(instant(SETTLED), call, held.judge(call, signs));
  t.true(held.isEmpty);
  const [ended] = held.applyRegistry(instant(9_000), restarted);
  t.is(ended?.evidence, "restarted");
  const heard = holdSettled("unanswered", callOf("s1")).held;
  heard.recordHeard(instant(600), () => true);
  t.is(heard.applyRegistry(instant(9_000), restarted).length, 1);
});

test("the removal of a server tells only that one without an answer has ended", (t) => {
  const unknown = holdSettled("unanswered", callOf("s1")).held;
  t.false(unknown.isEmpty);
  t.true(unknown.mayHaveEnded(serverOf("s1")));
  t.false(unknown.mayHaveEnded(serverOf("s1", 2)));
  t.is(unknown.applyRegistry(instant(3_600), [])[0]?.evidence, "removed");
  t.true(unknown.isEmpty);
  const leaving = { ...callOf("s1"), wasRegistered: false };
  const { held } = holdSettled("unanswered", leaving);
  t.deepEqual(held.applyRegistry(instant(3_600), []), []);
  const alive = holdSettled("accepted", callOf("s1")).held;
  t.deepEqual(alive.applyRegistry(instant(1_000), []), []);
});

test("the registry tells of another start before a call is settled, but not of a removal", (t) => {
  const held = new HeldSuspicions();
  const call = callOf("s1");
  held.add(call);
  t.deepEqual(held.applyRegistry(instant(100), []), []);
  t.true(held.isSettling(call));
  t.is(held.applyRegistry(instant(100), [serverOf("s1", 2)]).length, 1);
  t.false(held.isSettling(call));
});

test("calls that stay unsettled, or without evidence for long, have ended no server", (t) => {
  const held = new HeldSuspicions();
  held.add(callOf("s1"));
  t.false(held.isEmpty);
  t.deepEqual(held.applyRegistry(instant(5_000), [serverOf("s1", 2)]), []);
  t.true(held.isEmpty);
  const { held: unknown } = holdSettled("reset", callOf("s1"));
  t.deepEqual(unknown.applyRegistry(instant(SETTLED + 10_000), []), []);
  t.true(unknown.isEmpty);
});

test("later answers of a server without evidence show that it is alive", (t) => {
  const { held } = holdSettled("reset", callOf("s1"), callOf("s2"));
  held.recordHeard(instant(500), ({ server }) => server.id === "s1");
  t.false(held.mayHaveEnded(serverOf("s1")));
  t.true(held.mayHaveEnded(serverOf("s2")));
  const ended = held.applyRegistry(instant(600), []);
  t.deepEqual(ended.map(({ call }) => call.server.id), [
    backendServerId("s2"),
  ]);
});

test("held calls take bounded memory", (t) => {
  const held = new HeldSuspicions();
  for (let call = 0; call < 3_000; call += 1) held.add(callOf(`s${call}`));
  t.false(held.mayHaveEnded(serverOf("s0")));
  t.true(held.mayHaveEnded(serverOf("s2999")));
});

// Guards against sound requests that are refused for resets of connections.
test("resets of single connections at many engines while a third of the requests share a prompt part refuse nothing", (t) => {
  const engines = 62;
  const nodes = 89;
  const random = new SeededRandom(1);
  const draw = (count: number) => Math.floor(random.next() * count);
  const quarantine = new RequestQuarantine();
  const seenBy = Array.from({ length: nodes }, () => ({
    held: new HeldSuspicions(),
    bursts: new CrashBursts(),
  }));
  /** Settles a call at one node; all nodes share what it finds. */
  const settle = (now: number, call: HeldCall, probe: ProbeOutcome) => {
    const { held, bursts } = seenBy[draw(nodes)] as typeof seenBy[number];
    held.add(call);
    const verdict = held.judge(call, { isHeard: false, probe });
    held.settle(instant(now + SETTLED), call, verdict);
    if (verdict.kind !== "ended") return;
    for (const one of bursts.attribute(call.brokeAt, call.suspicions)) {
      quarantine.addSuspicion(call.brokeAt, one);
    }
  };
  const breakCall = (now: number, engine: number, parts: readonly number[]) =>
    callOf(`s${engine}`, now, [
      { content: contentDigest(`content-${now}`) },
      ...parts.map((part, partPosition) => ({
        content: contentDigest(`part-${part}`),
        partPosition,
      })),
    ]);
  for (let now = 500; now < 30_000; now += 20) {
    const call = breakCall(now, draw(engines / 2), [draw(3), 3 + draw(221)]);
    settle(now, call, draw(10) === 0 ? "reset" : "accepted");
    t.is(quarantine.quarantinedContents(instant(now)).size, 0);
  }
  for (const [crash, engine] of [40, 41, 42].entries()) {
    const now = 30_000 + 300 * crash;
    settle(now, breakCall(now, engine, [0, 500]), "refused");
  }
  t.deepEqual([...quarantine.quarantinedContents(instant(31_000))], [
    contentDigest("part-500"),
  ]);
});
