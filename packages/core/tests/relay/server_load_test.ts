import {
  chooseServer,
  instant,
  type LoadedServer,
  milliseconds,
  ServerLoad,
} from "@foxtailwind/core";
import test from "ava";

const answered = { kind: "answered", took: milliseconds(30) } as const;

function send(
  load: ServerLoad,
  now: number,
  result: Parameters<ServerLoad["recordResult"]>[1],
): void {
  load.recordSend(instant(now));
  load.recordResult(instant(now), result);
}

test("a server is excluded after two silences, for longer each time", (t) => {
  const load = new ServerLoad();
  send(load, 0, { kind: "dead" });
  t.false(load.isPaused(instant(1)));
  send(load, 10, { kind: "dead" });
  t.true(load.isPaused(instant(300)));
  t.false(load.isPaused(instant(420)));
  send(load, 420, { kind: "dead" });
  t.true(load.isPaused(instant(1_100)));
  send(load, 1_300, answered);
  t.false(load.isPaused(instant(1_301)));
});

test("a server that fails most requests is excluded, one that fails some is not", (t) => {
  const some = new ServerLoad();
  const most = new ServerLoad();
  for (let index = 0; index < 100; index += 1) {
    send(some, index, index % 7 === 0 ? { kind: "failed" } : answered);
    send(most, index, index % 8 === 0 ? answered : { kind: "failed" });
  }
  t.false(some.isPaused(instant(100)));
  t.true(most.isPaused(instant(100)));
});

test("the cheapest server is chosen, and a near one among equals", (t) => {
  const near = { server: "near", load: new ServerLoad(), isNear: true };
  const far = { server: "far", load: new ServerLoad(), isNear: false };
  const servers: LoadedServer<string>[] = [far, near];
  t.is(chooseServer(instant(0), servers, 0.1), "near");
  near.load.recordSend(instant(0));
  t.is(chooseServer(instant(0), servers, 0.1), "far");
  far.load.recordSend(instant(0));
  t.is(chooseServer(instant(0), servers, 0.9), "near");
});

test("if all servers are excluded, one is tried anyway", (t) => {
  const load = new ServerLoad();
  send(load, 0, { kind: "dead" });
  send(load, 0, { kind: "dead" });
  const servers = [{ server: "only", load, isNear: true }];
  t.is(chooseServer(instant(1), servers, 0), "only");
  t.is(chooseServer(instant(1), [], 0), undefined);
});

test("a server's latency decays while nothing is sent to it", (t) => {
  const load = new ServerLoad();
  for (let now = 0; now < 1_000; now += 50) {
    send(load, now, { kind: "answered", took: milliseconds(900) });
  }
  const slow = load.decayedLatency(instant(1_000));
  t.true(slow > 500);
  t.true(load.decayedLatency(instant(8_000)) < slow / 5);
});
