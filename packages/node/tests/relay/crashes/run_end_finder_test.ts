import { standInRegistryEntry } from "@foxtailwind/bench";
import {
  contentDigest,
  HeldSuspicions,
  type Instant,
  instant,
  milliseconds,
  type ProbeOutcome,
  type RegisteredServer,
  serverStart,
} from "@foxtailwind/core";
import { type BrokenCall, RunEndFinder } from "@foxtailwind/node/relay";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { createRelayBase } from "../helpers/relay_base.ts";
import { PLAIN_SERVICE } from "../helpers/relay_routes.ts";

/** Longer than it takes to settle a call whose server answers at once. */
const SETTLED_MILLISECONDS = 300;

/** A finder whose probes a test answers. */
class ScriptedFinder {
  readonly events: string[] = [];
  readonly lines: string[] = [];
  readonly held = new HeldSuspicions();
  /** Answers the probes in progress, oldest first. */
  readonly probes: ((outcome: ProbeOutcome) => void)[] = [];
  isConnected = false;
  readonly load: { lastBytesAt: Instant | undefined } = {
    lastBytesAt: undefined,
  };
  readonly #base = createRelayBase({
    part: "callers",
    write: (line) => void this.lines.push(line),
  });
  readonly finder = new RunEndFinder({
    ...this.#base.base,
    knowledge: this.#base.knowledge,
    held: this.held,
    listener: {
      onRefused: ({ server }) => void this.events.push(`refused ${server.id}`),
      onEnded: ({ call, evidence }) =>
        void this.events.push(`ended ${call.server.id} ${evidence}`),
      onAlive: ({ server }) => void this.events.push(`alive ${server.id}`),
    },
  });

  /** Breaks a call of a server. */
  breakCall(id: string): void {
    const server = standInRegistryEntry({
      id,
      service: PLAIN_SERVICE,
      address: `${id}:80`,
      start: serverStart(1),
    });
    this.finder.recordBrokenCall(this.#callOf(server), [{
      content: contentDigest("c"),
      server: server.id,
      ranFor: milliseconds(1),
    }]);
  }

  /** The probes counted so far, by outcome. */
  get counts(): readonly (readonly [string, number])[] {
    return [...this.#base.knowledge.workCounts.counts];
  }

  #callOf(server: RegisteredServer): BrokenCall {
    return {
      server,
      load: this.load,
      isConnected: () => this.isConnected,
      probe: () =>
        new Promise((resolve) => {
          this.probes.push(resolve);
        }),
      ranFor: undefined,
    };
  }
}

test("a server without a connection is probed at once, and refuses before it is settled", async (t) => {
  const script = new ScriptedFinder();
  script.breakCall("s1");
  t.is(script.probes.length, 1);
  script.probes[0]?.("refused");
  await sleep(10);
  t.deepEqual(script.events, ["refused s1"]);
  await sleep(SETTLED_MILLISECONDS);
  t.deepEqual(script.events, ["refused s1", "ended s1 refused"]);
  t.is(script.probes.length, 1, "What is known isn't asked again.");
  t.deepEqual(script.counts, [["probe_refused", 1]]);
  const [line] = script.lines.map((one) =>
    JSON.parse(one) as Readonly<Record<string, unknown>>
  );
  t.like(line, {
    message: "callers: A server that broke off a call was probed.",
    server: "s1",
    start: 1,
    outcome: "refused",
  });
});

test("a server with other connections isn't probed", async (t) => {
  const script = new ScriptedFinder();
  script.isConnected = true;
  script.breakCall("s1");
  await sleep(SETTLED_MILLISECONDS);
  t.deepEqual(script.events, ["alive s1"]);
  t.is(script.probes.length, 0);
});

test("a server is probed as the call is settled if its other connections are gone by then", async (t) => {
  const script = new ScriptedFinder();
  script.isConnected = true;
  script.breakCall("s1");
  script.isConnected = false;
  await sleep(SETTLED_MILLISECONDS);
  script.probes[0]?.("refused");
  await sleep(10);
  t.deepEqual(script.events, ["ended s1 refused"]);
});

// Guards against the last connections of a dying process, which it resets.
test("a server that reset a probe is probed once more", async (t) => {
  const script = new ScriptedFinder();
  script.breakCall("s1");
  script.probes[0]?.("reset");
  await sleep(SETTLED_MILLISECONDS);
  t.is(script.probes.length, 2);
  script.probes[1]?.("refused");
  await sleep(10);
  t.deepEqual(script.events, ["ended s1 refused"]);
});

test("a server that answers no probe is held until it is heard", async (t) => {
  const script = new ScriptedFinder();
  script.breakCall("s1");
  script.probes[0]?.("unanswered");
  await sleep(SETTLED_MILLISECONDS);
  t.deepEqual(script.events, []);
  t.false(script.held.isEmpty);
  script.load.lastBytesAt = instant(performance.now());
  script.finder.refresh();
  t.true(script.held.isEmpty);
});

test("a server has one probe in progress at most, and each call one that began after it", async (t) => {
  const script = new ScriptedFinder();
  script.breakCall("s1");
  await sleep(10);
  for (let call = 0; call < 5; call += 1) script.breakCall("s1");
  script.breakCall("s2");
  t.is(script.probes.length, 2, "One of each server.");
  script.probes[0]?.("accepted");
  await sleep(10);
  t.is(script.probes.length, 3, "One for all that broke meanwhile.");
  script.probes[2]?.("refused");
  await sleep(10);
  t.deepEqual(
    script.events,
    Array.from({ length: 5 }, () => "refused s1"),
  );
});

test("nothing is concluded once the node stops", async (t) => {
  const script = new ScriptedFinder();
  script.breakCall("s1");
  script.finder.stop();
  script.probes[0]?.("refused");
  await sleep(SETTLED_MILLISECONDS);
  t.deepEqual(script.events, []);
});
