/**
 * Tests what a node sends to a partner in successive exchanges, in a cluster of
 * many nodes where little changes.
 */
import { instant, nodeId } from "@foxtailwind/core";
import { ExchangeAnswer, type NodeDigest } from "@foxtailwind/protocol";
import {
  answerExchange,
  ExchangePartner,
  PeerTable,
} from "@foxtailwind/node/relay";
import test from "ava";
import { nodeDigest } from "./helpers/node_digest.ts";

const ASKER = nodeId("asker");
const EVERYTHING = { wantsOthers: true, wantsEngines: true };
const HUB_ONLY = { wantsOthers: false, wantsEngines: true };
const NODES_ONLY = { wantsOthers: true, wantsEngines: false };

const NO_REGISTRY_CHANGES = { registry: "", registryCursor: 0 };

function engineStates(sequence: number) {
  return { engines: [], accounts: [], retries: [], sequence };
}

/** Creates a node that asks, and a hub that has heard many others. */
function setUp(others: number) {
  const asker = { book: new PeerTable(), own: nodeDigest("asker") };
  const hub = { book: new PeerTable(), own: nodeDigest("hub") };
  for (let node = 0; node < others; node += 1) {
    hub.book.applyDigest(instant(0), nodeDigest(`n${node}`, { sequence: 1 }));
  }
  const partner = new ExchangePartner(ASKER, asker.book);
  const exchange = (
    now: number,
    scope = EVERYTHING,
    own: NodeDigest = asker.own,
  ) => {
    const at = instant(now);
    const question = partner.nextQuestion(own, scope);
    if (question.own !== undefined) hub.book.applyDigest(at, question.own);
    const answer = {
      ...answerExchange(at, hub.book, hub.own, question),
      ...NO_REGISTRY_CHANGES,
    };
    const isStatusChange = partner.applyAnswer(at, answer, scope);
    return { question, answer, isNews: isStatusChange };
  };
  return { asker, hub, exchange };
}

test("an answer about 195 unchanged nodes takes fewer than 700 bytes", (t) => {
  const { asker, hub, exchange } = setUp(195);
  t.true(exchange(0).isNews);
  t.is(asker.book.alive(instant(100)).length, 196);
  for (let node = 0; node < 195; node += 1) {
    hub.book.applyDigest(
      instant(1_000),
      nodeDigest(`n${node}`, { sequence: 1 }),
    );
  }
  const { answer, isNews } = exchange(1_000);
  t.false(isNews);
  t.is(answer.news.length, 0);
  t.true(ExchangeAnswer.encode(answer).finish().length < 700);
  t.is(
    asker.book.alive(instant(2_400)).length,
    196,
    "All nodes were heard again.",
  );
});

test("a change is sent once", (t) => {
  const { asker, hub, exchange } = setUp(20);
  exchange(0);
  hub.book.applyDigest(
    instant(100),
    nodeDigest("n3", { sequence: 2, isLeaving: true }),
  );
  const { answer, isNews } = exchange(300);
  t.deepEqual(answer.news.map(({ digest }) => digest?.node), ["n3"]);
  t.true(isNews);
  t.true(asker.book.stoppedNodes(instant(300)).has(nodeId("n3")));
  t.is(exchange(600).answer.news.length, 0);
});

test("a lost answer is sent again", (t) => {
  const { asker, hub } = setUp(3);
  const lost = new ExchangePartner(ASKER, asker.book);
  const ask = () =>
    answerExchange(
      instant(0),
      hub.book,
      hub.own,
      lost.nextQuestion(asker.own, EVERYTHING),
    );
  t.is(ask().news.length, 3);
  t.is(ask().news.length, 3);
});

test("a restarted hub sends and receives everything again", (t) => {
  const { asker, hub, exchange } = setUp(5);
  asker.own = nodeDigest("asker", { engineStates: engineStates(7) });
  exchange(0, EVERYTHING, asker.own);
  t.is(
    exchange(300, EVERYTHING, asker.own).question.own?.engineStates,
    undefined,
  );
  hub.own = nodeDigest("hub", { incarnation: "run-2" });
  hub.book = new PeerTable();
  hub.book.applyDigest(instant(400), nodeDigest("n9", { sequence: 1 }));
  const { answer } = exchange(600, EVERYTHING, asker.own);
  t.deepEqual(answer.news.map(({ digest }) => digest?.node), ["n9", "asker"]);
  const { question } = exchange(900, EVERYTHING, asker.own);
  t.is(question.own?.engineStates?.sequence, 7);
});

test("a node that begins to place requests receives all engine states", (t) => {
  const { asker, hub, exchange } = setUp(0);
  hub.book.applyDigest(
    instant(0),
    nodeDigest("n1", { engineStates: engineStates(3) }),
  );
  exchange(0, NODES_ONLY);
  t.is(asker.book.knownEngineSequence(nodeId("n1"), "run-1"), 0);
  exchange(300, EVERYTHING);
  t.is(asker.book.knownEngineSequence(nodeId("n1"), "run-1"), 3);
});

test("a node that first requests only a hub's digest receives all others later", (t) => {
  const { asker, exchange } = setUp(20);
  t.is(exchange(0, HUB_ONLY).answer.news.length, 0);
  t.is(asker.book.alive(instant(0)).length, 1);
  t.is(exchange(300).answer.news.length, 21, "Including the asker itself.");
  t.is(asker.book.alive(instant(300)).length, 21);
});

test("ages of a node's earlier run do not keep its later run alive", (t) => {
  const { asker, hub, exchange } = setUp(1);
  exchange(0);
  asker.book.applyDigest(
    instant(100),
    nodeDigest("n0", { incarnation: "run-2" }),
  );
  hub.book.applyDigest(instant(5_000), nodeDigest("n0", { sequence: 1 }));
  exchange(5_000);
  t.deepEqual(asker.book.alive(instant(5_000)).map(({ node }) => node), [
    "hub",
  ]);
});
