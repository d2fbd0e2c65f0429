import {
  backendServerId,
  instant,
  milliseconds,
  nodeId,
} from "@foxtailwind/core";
import { PeerTable } from "@foxtailwind/node/relay";
import { NodeDigest } from "@foxtailwind/protocol";
import test from "ava";
import {
  engineDigest,
  nodeDigest,
  ownerDigest,
} from "./helpers/node_digest.ts";

test("a silent node is no longer alive but is still contacted", (t) => {
  const peers = new PeerTable();
  peers.applyDigest(instant(0), nodeDigest("n1"));
  t.is(peers.alive(instant(1_000)).length, 1);
  t.is(peers.alive(instant(1_600)).length, 0);
  t.is(peers.contacts(instant(1_600)).length, 1);
  t.is(peers.contacts(instant(70_000)).length, 0);
});

test("a node that announced its stop counts as stopped until it is heard again", (t) => {
  const peers = new PeerTable();
  peers.applyDigest(instant(0), nodeDigest("n1", { isLeaving: true }));
  t.true(peers.stoppedNodes(instant(5_000)).has(nodeId("n1")));
  peers.applyDigest(instant(6_000), nodeDigest("n1", { incarnation: "run-2" }));
  t.false(peers.stoppedNodes(instant(6_001)).has(nodeId("n1")));
});

test("an owner's digest of an engine expires", (t) => {
  const peers = new PeerTable();
  const engine = engineDigest("e1", { room: 3 });
  peers.applyDigest(instant(0), ownerDigest("n1", [engine]));
  const find = (now: number, owner: string) =>
    peers.findEngine(instant(now), backendServerId("e1"), nodeId(owner));
  t.is(find(500, "n1")?.digest.room, 3);
  t.is(find(500, "n2"), undefined);
  t.is(find(1_300, "n1"), undefined);
});

test("of digests received over several paths, the newest one counts", (t) => {
  const peers = new PeerTable();
  const later = nodeDigest("n1", { sequence: 7, isReady: false });
  peers.applyDigest(instant(1_000), later);
  const relayed = { age: milliseconds(100), isRelayed: true };
  const earlier = nodeDigest("n1", { sequence: 6 });
  t.false(peers.applyDigest(instant(1_100), earlier, relayed));
  t.false(peers.alive(instant(1_100))[0]?.isReady);
  const before = nodeDigest("n1", { sequence: 9_000, incarnation: "run-0" });
  peers.applyDigest(
    instant(1_200),
    before,
    { age: milliseconds(900), isRelayed: true },
  );
  t.is(peers.alive(instant(1_200))[0]?.incarnation, "run-1");
});

const engineStates = (sequence: number) => ({
  engines: [],
  accounts: [],
  retries: [],
  sequence,
});

/** Lists the news after a change count: nodes and their engine sequences. */
function newsSince(peers: PeerTable, cursor: number, wantsEngines = true) {
  return peers.newsFor(instant(250), { cursor, wantsEngines })
    .map(({ digest }) => [
      digest?.node,
      digest?.engineStates?.sequence,
    ]);
}

test("a partner receives only what it lacks, and the ages of all nodes", (t) => {
  const peers = new PeerTable();
  peers.applyDigest(instant(0), nodeDigest("n1", { sequence: 1 }));
  const { cursor } = peers;
  peers.applyDigest(instant(50), nodeDigest("n2", { sequence: 5 }));
  peers.applyDigest(instant(100), nodeDigest("n1", { sequence: 1 }));
  t.deepEqual(newsSince(peers, 0), [["n1", undefined], ["n2", undefined]]);
  t.deepEqual(newsSince(peers, cursor), [["n2", undefined]]);
  t.deepEqual(newsSince(peers, peers.cursor), []);
  t.deepEqual(peers.ages(instant(250)), [16, 21]);
  t.deepEqual(peers.ages(instant(70_000)), [0, 0]);
});

test("a node that places no requests receives no engine states", (t) => {
  const peers = new PeerTable();
  const digest = nodeDigest("n1", {
    sequence: 1,
    engineStates: engineStates(1),
  });
  peers.applyDigest(instant(0), digest);
  t.deepEqual(newsSince(peers, 0, false), [["n1", undefined]]);
  t.deepEqual(newsSince(peers, 0), [["n1", 1]]);
  const { cursor } = peers;
  peers.applyDigest(instant(50), { ...digest, engineStates: engineStates(2) });
  t.deepEqual(newsSince(peers, cursor, false), []);
  t.deepEqual(newsSince(peers, cursor), [["n1", 2]]);
});

test("omitted engine states stay known until their node restarts", (t) => {
  const peers = new PeerTable();
  const digest = nodeDigest("n1", {
    sequence: 1,
    engineStates: engineStates(4),
  });
  peers.applyDigest(instant(0), digest);
  peers.applyDigest(instant(50), {
    ...digest,
    sequence: 2,
    engineStates: undefined,
  });
  t.is(peers.knownEngineSequence(nodeId("n1"), "run-1"), 4);
  peers.applyDigest(instant(100), nodeDigest("n1", { incarnation: "run-2" }));
  t.is(peers.knownEngineSequence(nodeId("n1"), "run-2"), 0);
});

test("a node that others hear is alive, in the run that they hear", (t) => {
  const peers = new PeerTable();
  peers.applyDigest(instant(0), nodeDigest("n1"));
  const age = milliseconds(100);
  t.true(
    peers.recordRelayedContact(instant(9_000), nodeId("n1"), "run-1", age),
  );
  t.is(peers.alive(instant(9_000)).length, 1);
  t.false(
    peers.recordRelayedContact(instant(9_100), nodeId("n1"), "run-1", age),
    "It was already alive.",
  );
  t.false(
    peers.recordRelayedContact(instant(20_000), nodeId("n1"), "run-0", age),
  );
  t.is(peers.alive(instant(20_000)).length, 0);
});

test("a node that exchanges rarely has a longer timeout before it counts as gone", (t) => {
  const peers = new PeerTable();
  peers.applyDigest(
    instant(0),
    nodeDigest("n1", { periodMilliseconds: 1_000 }),
  );
  t.is(peers.alive(instant(2_400)).length, 1);
  t.is(peers.alive(instant(2_600)).length, 0);
});

test("relayed digests may be older before their node counts as gone", (t) => {
  const peers = new PeerTable();
  const terms = { age: milliseconds(500), isRelayed: true };
  peers.applyDigest(instant(500), nodeDigest("n1"), terms);
  t.is(peers.alive(instant(3_200)).length, 1);
  t.is(peers.alive(instant(3_300)).length, 0);
});

test("sequence numbers still increase on a node that has run for months", (t) => {
  const peers = new PeerTable();
  const halfAYear = 180 * 24 * 3_600 * 1_000;
  for (const sequence of [halfAYear, halfAYear + 300]) {
    const sent = NodeDigest.decode(
      NodeDigest.encode(nodeDigest("n1", { sequence })).finish(),
    );
    peers.applyDigest(instant(sequence), sent);
  }
  t.is(peers.alive(instant(halfAYear + 300))[0]?.sequence, halfAYear + 300);
});
