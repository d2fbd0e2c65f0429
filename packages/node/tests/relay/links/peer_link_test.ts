import { PeerChannels, PeerServer } from "@foxtailwind/node";
import {
  type LinkHandlers,
  PeerLinks,
  serveLink,
  type UseCall,
} from "@foxtailwind/node/relay";
import {
  type AdapterUse,
  type ExchangeQuestion,
  GrantOutcome,
  type LinkAnswer,
  type LinkQuestion,
  RelayPeersService,
} from "@foxtailwind/protocol";
import type { ServerDuplexStream } from "@grpc/grpc-js";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { nodeDigest } from "../helpers/node_digest.ts";

const POLL_MILLISECONDS = 5;

const USE: AdapterUse = {
  engine: "engine",
  model: "model",
  adapter: "adapter",
  minimumVersion: 0,
  readingMilliseconds: 1,
  timeLeftMilliseconds: 1_000,
  needsBreak: false,
  priority: 0,
  account: "",
  workTokens: 0,
  longestWaitMilliseconds: 0,
  onlyInTime: false,
};

function question(cursor: number): ExchangeQuestion {
  return {
    own: undefined,
    wantsOthers: false,
    wantsEngines: false,
    incarnation: "",
    cursor,
    knownEngines: 0,
    registryCursor: 0,
    registryAgeMilliseconds: undefined,
  };
}

/** A peer that answers exchanges with their cursor and keeps uses waiting. */
async function startPeer(t: ExecutionContext) {
  const useCalls: UseCall[] = [];
  const calls: ServerDuplexStream<LinkQuestion, LinkAnswer>[] = [];
  const handlers: LinkHandlers = {
    answerExchange: ({ cursor }) => ({
      own: nodeDigest("peer"),
      cursor,
      news: [],
      ages: [],
      knownEngines: 0,
      operatorsAgeMilliseconds: undefined,
      registry: "",
      registryCursor: 0,
      registryAgeMilliseconds: undefined,
    }),
    serveUse: (call) => {
      useCalls.push(call);
    },
  };
  const server = new PeerServer([{
    definition: RelayPeersService,
    implementation: {
      link: (call: ServerDuplexStream<LinkQuestion, LinkAnswer>) => {
        calls.push(call);
        serveLink(call, handlers);
      },
    },
  }]);
  const port = await server.listen({ host: "127.0.0.1", port: 0 });
  const channels = new PeerChannels();
  t.teardown(() => {
    channels.close();
    server.abortConnections();
  });
  const links = new PeerLinks(channels);
  const address = `127.0.0.1:${port}`;
  return { links, address, channels, useCalls, calls };
}

/** Asks for a use and records what is answered. */
function requestUse(links: PeerLinks, address: string) {
  const events: string[] = [];
  const use = links.getLink(address).requestUse(USE, {
    onQueued: () => events.push("queued"),
    onGrant: ({ outcome }) => events.push(GrantOutcome[outcome]),
    onEnd: () => events.push("end"),
    onLost: () => events.push("lost"),
  });
  return { events, use };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(POLL_MILLISECONDS);
}

test("questions in flight at the same time share a call and get their own answers", async (t) => {
  const { links, address, calls } = await startPeer(t);
  const cursors = [1, 2, 3];
  const answers = await Promise.all(
    cursors.map((cursor) => links.getLink(address).exchange(question(cursor))),
  );
  t.deepEqual(answers.map((answer) => answer?.cursor), cursors);
  t.is(calls.length, 1);
});

test("a use is granted, and ends when the asker cancels it", async (t) => {
  const { links, address, useCalls } = await startPeer(t);
  const { events, use } = requestUse(links, address);
  await waitUntil(() => useCalls.length === 1);
  useCalls[0]?.notifyQueued();
  useCalls[0]?.write({
    outcome: GrantOutcome.GRANTED,
    version: 1,
    start: 0,
    retryAfterMilliseconds: 0,
  });
  await waitUntil(() => events.length === 2);
  use.cancel();
  await waitUntil(() => useCalls[0]?.signal.aborted === true);
  // Nothing follows: the asker has forgotten the use.
  useCalls[0]?.end();
  await links.getLink(address).exchange(question(1));
  t.deepEqual(events, ["queued", "GRANTED"]);
});

test("a use that the owner ends tells the asker once", async (t) => {
  const { links, address, useCalls } = await startPeer(t);
  const { events, use } = requestUse(links, address);
  await waitUntil(() => useCalls.length === 1);
  useCalls[0]?.end();
  useCalls[0]?.end();
  await links.getLink(address).exchange(question(1));
  use.cancel();
  t.deepEqual(events, ["end"]);
});

test("uses end on both sides when their link is lost, and the next has a new link", async (t) => {
  const { links, address, useCalls, calls } = await startPeer(t);
  const { events } = requestUse(links, address);
  await waitUntil(() => useCalls.length === 1);
  links.getLink(address).close();
  t.deepEqual(events, ["lost"]);
  await waitUntil(() => useCalls[0]?.signal.aborted === true);
  const answer = await links.getLink(address).exchange(question(7));
  t.is(answer?.cursor, 7);
  t.is(calls.length, 2);
});

test("what is asked of a peer that can't be reached is lost at once", async (t) => {
  const channels = new PeerChannels();
  t.teardown(() => {
    channels.close();
  });
  const links = new PeerLinks(channels);
  const { events } = requestUse(links, "127.0.0.1:1");
  t.is(await links.getLink("127.0.0.1:1").exchange(question(1)), undefined);
  t.deepEqual(events, ["lost"]);
});
