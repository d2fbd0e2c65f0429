import {
  type ClientAccount,
  clientAccountId,
  milliseconds,
} from "@foxtailwind/core";
import {
  AnswerHandler,
  BackendCall,
  type DataDecision,
  digestApiKey,
  type HeadDecision,
  ProcessClock,
  writeKnowledge,
} from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { gunzipSync } from "node:zlib";
import type { Dispatcher } from "undici";
import { RelayWorld, succeed } from "../helpers/relay_world.ts";

const KEY = "secret-of-one";
const OTHER_KEY = "secret-of-two";

function accountWith(id: string, ...keys: string[]): ClientAccount {
  return { id: clientAccountId(id), keys: keys.map(digestApiKey) };
}

const ACCOUNTS = [accountWith("one", KEY), accountWith("two", OTHER_KEY)];
const WITHOUT_KEY = [accountWith("one"), accountWith("two", OTHER_KEY)];

class TakingHandler extends AnswerHandler {
  override onHead(): HeadDecision {
    return "take";
  }

  override onData(): DataDecision {
    return "continue";
  }
}

/** Starts a front server with accounts and a backend server. */
async function startWorld(t: ExecutionContext) {
  const lines: string[] = [];
  const world = new RelayWorld((line) => {
    lines.push(line);
  });
  world.configure(ACCOUNTS);
  const received: IncomingHttpHeaders[] = [];
  await world.addServer("s1", (request, response) => {
    received.push(request.headers);
    request.resume();
    succeed(request, response, "served");
  });
  await world.start(t);
  return { world, received, lines };
}

function callWith(world: RelayWorld, path: string, key: string) {
  return world.call(path, { headers: { "x-key": key } });
}

test("an unknown key and a missing one get 401 and reach no server", async (t) => {
  const { world, received } = await startWorld(t);
  t.is((await callWith(world, "/once/a", "unknown")).status, 401);
  t.is((await world.call("/once/a")).status, 401);
  t.is(received.length, 0);
  t.deepEqual(world.refusals, ["unknown_key", "unknown_key"]);
});

test("a server gets the account and not the key, whatever account the caller names", async (t) => {
  const { world, received } = await startWorld(t);
  const answer = await world.call("/once/a", {
    headers: { "x-key": KEY, "x-account": "two", "X-Account": "three" },
  });
  t.is(answer.status, 200);
  t.is(received[0]?.["x-account"], "one");
  t.is(received[0]?.["x-key"], undefined);
});

test("an anonymous route needs no key, and its servers get no account that the caller names", async (t) => {
  const { world, received } = await startWorld(t);
  const answer = await world.call("/anonymous/a", {
    headers: { "x-account": "two", "x-key": "unknown" },
  });
  t.is(answer.status, 200);
  t.is(received[0]?.["x-account"], undefined);
  t.is(received[0]?.["x-key"], undefined);
});

test("without accounts, these headers are the caller's own", async (t) => {
  const world = new RelayWorld();
  world.configure();
  const received: IncomingHttpHeaders[] = [];
  await world.addServer("s1", (request, response) => {
    received.push(request.headers);
    request.resume();
    succeed(request, response, "served");
  });
  await world.start(t);
  t.is((await callWith(world, "/once/a", KEY)).status, 200);
  t.is(received[0]?.["x-key"], KEY);
});

test("requests with other keys on a kept connection belong to other accounts", async (t) => {
  const { world, received } = await startWorld(t);
  const request = (key: string, id: string) =>
    `POST /once/a HTTP/1.1\r\nhost: one.example\r\nx-id: ${id}\r\n` +
    `x-key: ${key}\r\ncontent-length: 0\r\n\r\n`;
  const socket = connect(world.port, "127.0.0.1");
  let bytes = "";
  socket.on("data", (data: Buffer) => {
    bytes += data.toString();
  });
  socket.write(request(KEY, "r1"));
  while (received.length < 1) await sleep(5);
  socket.write(request(OTHER_KEY, "r2"));
  while (received.length < 2) await sleep(5);
  socket.write(request("unknown", "r3"));
  while (!bytes.includes("401")) await sleep(5);
  socket.destroy();
  t.deepEqual(received.map((headers) => headers["x-account"]), ["one", "two"]);
});

test("a request whose key is revoked while it waits for a server is not sent", async (t) => {
  const { world } = await startWorld(t);
  let runs = 0;
  await world.addEngine("e1", milliseconds(300), (request, response) => {
    runs += 1;
    request.resume();
    succeed(request, response, "served");
  });
  const waiting = world.call("/engine/a", {
    headers: { "x-key": KEY, "x-adapter": "a1" },
  });
  await sleep(100);
  world.configure(WITHOUT_KEY);
  const answer = await waiting;
  t.is(answer.status, 401);
  t.is(runs, 0);
  t.deepEqual(world.outcomes, ["unknown_key"]);
});

test("a request that is no longer allowed when its connection opens is not written", async (t) => {
  let handler: Dispatcher.DispatchHandler | undefined;
  const dispatcher = {
    dispatch: (_options: unknown, given: Dispatcher.DispatchHandler) => {
      handler = given;
      return true;
    },
  } as unknown as Dispatcher;
  let isAllowed = true;
  const call = new BackendCall(new TakingHandler());
  call.send(dispatcher, {
    method: "POST",
    path: "/",
    headers: [],
    body: undefined,
    findObstacle: () => isAllowed ? undefined : "unknown_key",
  });
  isAllowed = false;
  let abortError: Error | undefined;
  const controller = {
    abort: (error: Error) => {
      abortError = error;
      handler?.onResponseError?.(controller, error);
    },
  } as unknown as Dispatcher.DispatchController;
  handler?.onRequestStart?.(controller, {});
  t.true(abortError instanceof Error);
  const end = await call.ended;
  t.true(end.kind === "broken" && !end.wasSent);
});

test("a broken stream whose key was revoked is not resumed at another server", async (t) => {
  const { world } = await startWorld(t);
  world.removeServer("s1");
  const streams: ServerResponse[] = [];
  for (const id of ["s2", "s3"]) {
    await world.addServer(id, (_request, response) => {
      streams.push(response);
      response.writeHead(200, {
        "x-id": "r1",
        "x-seal": "s",
        "content-type": "text/event-stream",
      });
      response.write("id: 1\ndata: a\n\n");
    });
  }
  const answer = callWith(world, "/resumable/a", KEY).catch(() => undefined);
  while (streams.length === 0) await sleep(5);
  await sleep(50);
  world.configure(WITHOUT_KEY);
  streams[0]?.destroy();
  t.is(await answer, undefined, "The answer does not look complete.");
  t.is(streams.length, 1);
});

test("a node without a recent proof refuses keys in time as not run, and asks for a proof", async (t) => {
  const { world, received } = await startWorld(t);
  world.revocationTime = milliseconds(50);
  let proofsRequested = 0;
  world.requestProof = () => {
    proofsRequested += 1;
  };
  await sleep(60);
  const clock = new ProcessClock();
  const before = clock.now();
  const refused = await callWith(world, "/once/a", KEY);
  t.is(refused.status, 503);
  t.true(Number(refused.headers["retry-after"]) > 0);
  t.true(clock.now() - before < 1_000);
  t.is((await callWith(world, "/once/a", "unknown")).status, 503);
  t.is(received.length, 0);
  t.is(proofsRequested, 3);
});

test("requests ask for a newer proof before the present one is too old, and are served meanwhile", async (t) => {
  const { world } = await startWorld(t);
  world.revocationTime = milliseconds(1_000);
  let proofsRequested = 0;
  world.requestProof = () => {
    proofsRequested += 1;
  };
  t.is((await callWith(world, "/once/a", KEY)).status, 200);
  t.is(proofsRequested, 0);
  await sleep(550);
  for (let index = 0; index < 3; index += 1) {
    t.is((await callWith(world, "/once/a", KEY)).status, 200);
  }
  t.is(proofsRequested, 1);
});

test("a request at a node without a recent proof is served once a peer proves its records", async (t) => {
  const { world } = await startWorld(t);
  world.revocationTime = milliseconds(200);
  world.requestProof = () => {
    const askedAt = world.knowledge.proofs.now;
    setTimeout(() => {
      world.knowledge.applyPeerProof(askedAt, {
        age: milliseconds(1),
        end: world.knowledge.operatorsEnd,
      });
    }, 30);
  };
  await sleep(220);
  t.is((await callWith(world, "/once/a", KEY)).status, 200);
});

test("a peer that has more records proves nothing about this node", (t) => {
  const { knowledge } = new RelayWorld();
  const before = knowledge.proofs.age ?? milliseconds(Infinity);
  const askedAt = knowledge.proofs.now;
  knowledge.applyPeerProof(askedAt, {
    age: milliseconds(0),
    end: knowledge.operatorsEnd + 1,
  });
  const after = knowledge.proofs.age ?? milliseconds(Infinity);
  t.true(after >= before);
});

test("no log line and no message to a peer contains a key", async (t) => {
  const { world, lines } = await startWorld(t);
  await callWith(world, "/once/a", KEY);
  await callWith(world, "/once/a", "secret-unknown");
  const message = writeKnowledge(world.knowledge, { configurationVersion: 0 });
  const configuration = gunzipSync(message.configuration).toString();
  const texts = [...lines, JSON.stringify(message), configuration];
  t.true(lines.length > 0);
  t.true(configuration.includes(digestApiKey(KEY)));
  t.false(texts.some((text) => text.includes("secret")));
});

test("the log tells the account of a request, and why one was refused", async (t) => {
  const { world, lines } = await startWorld(t);
  await callWith(world, "/once/a", KEY);
  await callWith(world, "/once/a", "unknown");
  const ended = lines.find((line) => line.includes("A request ended"));
  const refused = lines.find((line) => line.includes("was refused before"));
  t.regex(ended ?? "", /"account":"one"/);
  t.regex(refused ?? "", /"request":"r1".*"refusal":"unknown_key"/);
});
