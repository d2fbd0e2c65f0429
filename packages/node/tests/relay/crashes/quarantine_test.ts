import {
  backendServerId,
  type ContentDigest,
  contentDigest,
  instant,
  logOffset,
  milliseconds,
  serverStart,
} from "@foxtailwind/core";
import {
  CrashReports,
  RequestContent,
  type SuspicionChange,
} from "@foxtailwind/node/relay";
import test from "ava";
import { err, ok } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import { createRelayBase } from "../helpers/relay_base.ts";
import { rawCall } from "../helpers/raw_call.ts";
import { RelayWorld, succeed } from "../helpers/relay_world.ts";

const BODY = Buffer.from("prompt");
/** Longer than the delay after which a suspicion is settled. */
const SETTLED_MILLISECONDS = 400;
/** Many more than end, so that requests find one that runs. */
const SERVERS = 16;

/** Returns what a world's node refuses. */
function quarantined({ knowledge }: RelayWorld): ReadonlySet<ContentDigest> {
  return knowledge.suspicionTracker.quarantine.quarantinedContents(
    instant(performance.now()),
  );
}

/** Starts servers that a crashing request ends, and a broken one doesn't. */
async function startWorld(
  t: Parameters<RelayWorld["start"]>[0],
  servers = SERVERS,
) {
  const world = new RelayWorld();
  world.configure();
  const arrivals: string[] = [];
  for (let server = 1; server <= servers; server += 1) {
    const id = `s${server}`;
    await world.addServer(id, (request, response) => {
      request.resume();
      request.on("end", () => {
        arrivals.push(String(request.headers["x-id"]));
        if (request.url?.endsWith("crashing") === true) world.endServer(id);
        else if (request.url?.endsWith("broken") === true) response.destroy();
        else succeed(request, response, "served");
      });
    });
  }
  await world.start(t);
  return { world, arrivals };
}

test("a request that crashed three servers is refused as not run, with Retry-After", async (t) => {
  const { world, arrivals } = await startWorld(t);
  const path = "/once/crashing";
  for (const id of ["r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"]) {
    await world.call(path, { body: BODY, headers: { "x-id": id } });
    if (
      quarantined(world).size > 0
    ) {
      break;
    }
  }
  const before = arrivals.length;
  const refused = await world.call(path, { body: BODY });
  t.is(refused.status, 503);
  t.true(Number(refused.headers["retry-after"]) > 3_600);
  t.is(world.outcomes.at(-1), "quarantined");
  t.is(arrivals.length, before, "No server receives it.");
  const other = await world.call(path, { body: Buffer.from("other") });
  t.is(other.status, 502, "A different content is tried.");
  t.is((await world.call("/once/a", { body: BODY })).status, 200);
});

test("a request that crashes servers within one call isn't reported as not run", async (t) => {
  const { world } = await startWorld(t);
  const path = "/repeatable/crashing";
  const first = await world.call(path, { body: BODY });
  t.is(first.status, 502);
  const second = await world.call(path, { body: BODY });
  t.is(second.status, 502);
  t.is((await world.call(path, { body: BODY })).status, 503);
});

test("a registry entry that a server writes after it broke off a call clears the request", async (t) => {
  const { knowledge } = createRelayBase({ part: "callers" });
  const dropped: number[] = [];
  knowledge.suspicionTracker.onSuspicionsDisproved = (suspicions) => {
    dropped.push(suspicions.length);
  };
  const { quarantine } = knowledge.suspicionTracker;
  const world = new RelayWorld();
  world.addAddress("s1", "127.0.0.1:1");
  const [server] = world.knowledge.registry.all;
  if (server === undefined) throw new RangeError("There is no server.");
  const write = (offset: number) => {
    knowledge.registryEntry({
      kind: "present",
      offset: logOffset(offset),
      server: { ...server, start: serverStart(1) },
    });
  };
  write(1);
  knowledge.suspicion({
    kind: "added",
    suspicion: {
      content: contentDigest("c"),
      server: backendServerId("s1"),
      start: serverStart(1),
      ranFor: milliseconds(1),
    },
  });
  write(2);
  write(2);
  t.false(quarantine.isEmpty);
  await sleep(2_600);
  write(2);
  t.false(quarantine.isEmpty, "The entry is not new.");
  write(3);
  t.true(quarantine.isEmpty);
  t.is(dropped.at(-1), 1);
});

test("a server that continues other answers hasn't crashed", async (t) => {
  const world = new RelayWorld();
  world.configure();
  await world.addServer("s1", (request, response) => {
    request.resume();
    request.on("end", () => {
      if (request.url === "/stream/broken") {
        response.destroy();
        return;
      }
      response.writeHead(200, { "x-id": "r1", "x-seal": "s" });
      const timer = setInterval(() => response.write("id: 1\n\n"), 20);
      setTimeout(() => {
        clearInterval(timer);
        response.end();
      }, 700);
    });
  });
  await world.start(t);
  const continued = world.call("/stream/a", { body: BODY });
  await sleep(100);
  await world.call("/stream/broken", { body: BODY });
  t.false(world.knowledge.suspicionTracker.quarantine.isEmpty);
  await sleep(SETTLED_MILLISECONDS);
  t.true(world.knowledge.suspicionTracker.quarantine.isEmpty);
  t.is((await continued).status, 200);
});

test("requests in progress with a refused content end unless their answer has begun", async (t) => {
  const world = new RelayWorld();
  world.configure();
  let finish = (): void => undefined;
  let arrived = (): void => undefined;
  const isWaiting = new Promise<void>((resolve) => {
    arrived = resolve;
  });
  await world.addServer("s1", (request, response) => {
    request.resume();
    if (request.url === "/stream/waiting") {
      arrived();
      return;
    }
    response.writeHead(200, { "x-id": "r1", "x-seal": "s" });
    response.write("id: 1\n\n");
    finish = () => response.end();
  });
  await world.start(t);
  const paths = ["/stream/waiting", "/stream/begun"];
  const [waiting, begun] = paths.map((path) => rawCall(world.port, path));
  await Promise.all([isWaiting, begun?.received("id: 1")]);
  for (const path of paths) {
    const headers = { host: "one.example" };
    const head = { method: "POST", url: path, headers };
    const content = new RequestContent(head, undefined).digest;
    for (const id of ["a", "b", "c"]) {
      const server = backendServerId(`${path}${id}`);
      const suspicion = { content, server, ranFor: milliseconds(1) };
      world.knowledge.suspicion({ kind: "added", suspicion });
    }
  }
  t.is(quarantined(world).size, 2);
  world.front.applyQuarantine();
  t.regex((await waiting?.ended)?.bytes ?? "", /^HTTP\/1\.1 502 /);
  finish();
  const served = await begun?.ended;
  t.regex(served?.bytes ?? "", /^HTTP\/1\.1 200 /);
  t.true(served?.looksComplete);
  t.is(
    quarantined(world).size,
    1,
    "It was served.",
  );
});

test("a server whose other connections stay open hasn't crashed", async (t) => {
  const { world } = await startWorld(t, 4);
  const answers = await Promise.all(
    Array.from({ length: 16 }, () => world.call("/once/a", { body: BODY })),
  );
  t.true(answers.every(({ status }) => status === 200));
  await world.call("/once/broken", { body: BODY });
  t.false(world.knowledge.suspicionTracker.quarantine.isEmpty);
  await sleep(SETTLED_MILLISECONDS);
  t.true(world.knowledge.suspicionTracker.quarantine.isEmpty);
});

test("suspicions that the log doesn't accept are written again", async (t) => {
  const { base, knowledge } = createRelayBase({ part: "callers" });
  const written: SuspicionChange[] = [];
  let attempts = 0;
  new CrashReports({
    ...base,
    knowledge,
    log: {
      changeSuspicions: (changes) => {
        attempts += 1;
        if (attempts <= 2) return Promise.resolve(err(undefined as never));
        written.push(...changes);
        return Promise.resolve(ok(undefined));
      },
    },
  });
  const suspicion = {
    content: contentDigest("c"),
    server: backendServerId("s1"),
    ranFor: milliseconds(1),
  };
  knowledge.suspicion({ kind: "added", suspicion });
  knowledge.suspicionTracker.onSuspicionsDisproved([suspicion]);
  while (written.length === 0) await sleep(20);
  t.deepEqual(written, [{ kind: "dropped", key: suspicion }]);
  t.is(attempts, 3);
});
