import { backendServerId, instant, nodeId } from "@foxtailwind/core";
import { PeerBook } from "@foxtailwind/node/relay";
import test from "ava";
import { nodeDigest } from "./helpers/node_digest.ts";

test("a silent node is no longer there, but is still contacted", (t) => {
  const peers = new PeerBook();
  peers.heard(instant(0), nodeDigest("n1"));
  t.is(peers.alive(instant(1_000)).length, 1);
  t.is(peers.alive(instant(1_600)).length, 0);
  t.is(peers.contacts(instant(1_600)).length, 1);
  t.is(peers.contacts(instant(70_000)).length, 0);
});

test("a node that said that it stops counts as stopped until it is heard again", (t) => {
  const peers = new PeerBook();
  peers.heard(instant(0), nodeDigest("n1", { isLeaving: true }));
  t.true(peers.left(instant(5_000)).has(nodeId("n1")));
  peers.heard(instant(6_000), nodeDigest("n1", { incarnation: "run-2" }));
  t.false(peers.left(instant(6_001)).has(nodeId("n1")));
});

test("what an owner says of an engine counts for a moment only", (t) => {
  const peers = new PeerBook();
  const engine = {
    engine: "e1",
    start: 0,
    waitMilliseconds: 5,
    room: 3,
    adapters: [],
    isReachable: true,
    isFull: false,
    running: 0,
  };
  peers.heard(instant(0), nodeDigest("n1", { engines: [engine] }));
  const find = (now: number, owner: string) =>
    peers.engine(instant(now), backendServerId("e1"), nodeId(owner));
  t.is(find(500, "n1")?.digest.room, 3);
  t.is(find(500, "n2"), undefined);
  t.is(find(1_300, "n1"), undefined);
});
