import { instant } from "@foxtailwind/core";
import test, { type ExecutionContext } from "ava";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { RelayWorld, succeed } from "../helpers/relay_world.ts";

const SERVERS = ["s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"];
/** Breaks this far apart are no burst. */
const PAUSE_MILLISECONDS = 250;
/** Longer than it takes to settle a suspicion and to blame a part. */
const BLAMED_MILLISECONDS = 1_000;
/** Longer than servers stay known whose entries vanish together. */
const LAPSE_MILLISECONDS = 1_200;
/** Longer than servers are expected to take, so that others are preferred. */
const SLOW_MILLISECONDS = 60;
const SERVICE_UNAVAILABLE = 503;
const HTTP_OK = 200;

/** What a server does with a request that breaks off. */
type Break = (
  id: string,
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Servers that answer all requests but those that break off. */
class BreakingServers {
  readonly world = new RelayWorld();
  /** The servers that broke off a call, in order. */
  readonly broken: string[] = [];
  #requests = 0;

  static async start(
    t: ExecutionContext,
    breakOff: Break,
  ): Promise<BreakingServers> {
    const servers = new BreakingServers();
    const { world, broken } = servers;
    world.configure();
    for (const id of SERVERS) {
      await world.addServer(id, (request, response) => {
        request.resume();
        request.on("end", () => {
          if (request.url?.endsWith("broken") !== true) {
            succeed(request, response, "served");
            return;
          }
          broken.push(id);
          breakOff(id, request, response);
        });
      });
      world.registerStart(id, 1);
    }
    await world.start(t);
    return servers;
  }

  /** Sends a request with a shared part, and no content twice. */
  async send(path: string): Promise<number> {
    this.#requests += 1;
    return await this.sendContent(path, String(this.#requests));
  }

  /** Sends a request with a shared part and a content. */
  async sendContent(path: string, content: string): Promise<number> {
    const answer = await this.world.call(path, {
      body: Buffer.from(content),
      headers: { "x-parts": `p,own-${content}` },
    });
    return answer.status;
  }

  /** Sends requests that break off, apart from one another. */
  async breakOff(count: number): Promise<void> {
    for (let call = 0; call < count; call += 1) {
      await this.send("/once/broken").catch(() => undefined);
      await sleep(PAUSE_MILLISECONDS);
    }
  }

  /** What the node refuses. */
  get refused(): readonly string[] {
    const { quarantine } = this.world.knowledge.suspicionTracker;
    return [...quarantine.quarantinedContents(instant(performance.now()))];
  }
}

const RESETS: readonly (readonly [name: string, breakOff: Break])[] = [
  ["before their answer", (_id, request) => {
    request.socket.resetAndDestroy();
  }],
  ["within their answer", (_id, request, response) => {
    setTimeout(() => {
      response.writeHead(HTTP_OK, { "x-id": "r1", "x-seal": "s" });
      response.write("begun");
      setTimeout(() => request.socket.resetAndDestroy(), 20);
    }, SLOW_MILLISECONDS);
  }],
];

// Guards against sound requests that are refused because connections to many
// servers are reset, one at a time, while the servers run on.
for (const [name, breakOff] of RESETS) {
  test(`a part whose calls are reset ${name} by servers that live is not refused`, async (t) => {
    const servers = await BreakingServers.start(t, breakOff);
    await servers.breakOff(10);
    await sleep(BLAMED_MILLISECONDS);
    t.true(new Set(servers.broken).size >= 3);
    t.deepEqual(servers.refused, []);
    t.is(await servers.send("/once/a"), HTTP_OK);
  });
}

test("a content whose calls are reset at once by servers that live is not refused", async (t) => {
  const servers = await BreakingServers.start(t, (_id, request) => {
    request.socket.resetAndDestroy();
  });
  for (let call = 0; call < 16; call += 1) {
    await servers.sendContent("/once/broken", "same").catch(() => undefined);
    t.deepEqual(servers.refused, []);
  }
  t.true(new Set(servers.broken).size >= 3);
});

test("a part that ends servers is refused once three have ended", async (t) => {
  const servers = await BreakingServers.start(t, (id) => {
    servers.world.endServer(id);
  });
  await servers.breakOff(3);
  await sleep(BLAMED_MILLISECONDS);
  t.is(servers.refused.length, 1);
  t.is(await servers.send("/once/a"), SERVICE_UNAVAILABLE);
  t.is(servers.broken.length, 3);
});

test("a content that ends servers is refused once three have ended", async (t) => {
  const servers = await BreakingServers.start(t, (id) => {
    servers.world.endServer(id);
  });
  for (let call = 0; call < 3; call += 1) {
    await servers.sendContent("/once/broken", "same").catch(() => undefined);
  }
  t.is(
    await servers.sendContent("/once/broken", "same"),
    SERVICE_UNAVAILABLE,
  );
  t.is(servers.broken.length, 3);
});

// Guards against servers that are asked once they have started again.
test("a part that ends servers which listen again at once is refused", async (t) => {
  const servers = await BreakingServers.start(t, (id, request) => {
    request.socket.resetAndDestroy();
    setTimeout(() => {
      servers.world.registerStart(id, servers.broken.length + 1);
    }, 100);
  });
  await servers.breakOff(3);
  await sleep(BLAMED_MILLISECONDS);
  t.is(servers.refused.length, 1);
  t.is(await servers.send("/once/a"), SERVICE_UNAVAILABLE);
});

test("a part is held against servers that reset all connections only once they are gone", async (t) => {
  const servers = await BreakingServers.start(t, (id) => {
    servers.world.resetServer(id);
  });
  await servers.breakOff(3);
  await sleep(BLAMED_MILLISECONDS);
  t.deepEqual(servers.refused, []);
  const { knowledge } = servers.world;
  for (const id of servers.broken) servers.world.removeServer(id);
  await sleep(LAPSE_MILLISECONDS);
  knowledge.expireServers(instant(performance.now()));
  await sleep(BLAMED_MILLISECONDS);
  t.is(servers.refused.length, 1);
});
