import {
  adapterId,
  backendServerId,
  failureDomainId,
  instant,
  logOffset,
  milliseconds,
  modelId,
  nodeId,
  type RegistryEntry,
  serverStart,
  serviceId,
  softwareVersion,
} from "@foxtailwind/core";
import type { Knowledge } from "@foxtailwind/node/relay";
import {
  decodeRegistryEntries,
  encodeRegistryEntries,
  ProcessClock,
  readKnowledge,
  writeKnowledge,
} from "@foxtailwind/node/relay";
import test from "ava";
import { nodeDigest } from "./helpers/node_digest.ts";
import { createRelayBase } from "./helpers/relay_base.ts";
import { relaySettings } from "./helpers/relay_settings.ts";

/** The request of a node that knows nothing yet. */
const EMPTY_REQUEST = { configurationVersion: 0 };

function knowledge(): Knowledge {
  return createRelayBase({ part: "configuration" }).knowledge;
}

/** Passes on all registry entries that a peer knows. */
function tellRegistry(peer: Knowledge, node: Knowledge): void {
  const { entries } = peer.registry.changesSince(0);
  const text = encodeRegistryEntries(entries);
  node.applyPeerEntries(decodeRegistryEntries(text));
}

function configuration(version: number) {
  return {
    version,
    routes: [],
    services: [{ id: serviceId("s"), connectionLimit: 3 }],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTime: milliseconds(1),
      idleTime: milliseconds(1),
    },
  };
}

/** Creates the registry entry of a present engine. */
function presentEntry(id: string, offset: number): RegistryEntry {
  return {
    kind: "present",
    offset: logOffset(offset),
    server: {
      id: backendServerId(id),
      start: serverStart(1_700_000_000_123),
      service: serviceId("s"),
      software: softwareVersion("1"),
      address: "127.0.0.1:1",
      failureDomain: failureDomainId("d"),
      leaving: false,
      slots: 4,
      models: [{
        model: modelId("m"),
        adapters: new Map([[adapterId("a1"), 3]]),
      }],
      orderCount: 2,
    },
  };
}

test("a node that can't reach the log learns everything from a peer", (t) => {
  const peer = knowledge();
  peer.configuration(configuration(7));
  peer.adapterVersion(modelId("m"), adapterId("a1"), 3);
  peer.registryEntry(presentEntry("i-1", 4));
  const node = knowledge();
  readKnowledge(node, writeKnowledge(peer, EMPTY_REQUEST));
  tellRegistry(peer, node);
  t.is(node.routes?.configuration.version, 7);
  t.is(node.versions.newest(modelId("m"), adapterId("a1")), 3);
  t.deepEqual(node.registry.all, peer.registry.all);
  t.deepEqual(node.servers(serviceId("s")), peer.servers(serviceId("s")));
});

test("a peer's message never replaces a configuration by an older one", (t) => {
  const peer = knowledge();
  peer.configuration(configuration(7));
  const node = knowledge();
  node.configuration(configuration(9));
  readKnowledge(node, writeKnowledge(peer, EMPTY_REQUEST));
  t.is(node.routes?.configuration.version, 9);
  t.is(
    writeKnowledge(peer, { ...EMPTY_REQUEST, configurationVersion: 9 })
      .configuration.length,
    0,
  );
});

test("configuration versions only increase", (t) => {
  const node = knowledge();
  node.configuration(configuration(9));
  node.configuration(configuration(8));
  t.is(node.routes?.configuration.version, 9);
  node.configuration(configuration(12));
  t.is(node.routes?.configuration.version, 12);
});

test("the first two nodes by id watch the operators' records, and others once those are silent", (t) => {
  const node = knowledge();
  const id = relaySettings().node.id;
  const now = new ProcessClock().now();
  t.true(node.isWatcher, "It is the only node.");
  node.peers.applyDigest(now, nodeDigest(`${id}-later`));
  node.peers.applyDigest(now, nodeDigest("a"));
  t.true(node.isWatcher, "One node precedes it.");
  node.peers.applyDigest(now, nodeDigest("b"));
  t.false(node.isWatcher, "Two nodes precede it.");
  const later = knowledge();
  later.peers.applyDigest(now, nodeDigest("a"));
  later.peers.applyDigest(instant(now - 2_000), nodeDigest("b"));
  t.true(later.isWatcher, "One of them is silent.");
});

test("serving nodes take precedence as watchers", (t) => {
  const node = knowledge();
  const now = new ProcessClock().now();
  const { id } = relaySettings().node;
  const serve = (...nodes: readonly string[]) => {
    const serving = new Set(nodes.map(nodeId));
    node.serving = {
      has: (one) => serving.has(one),
      isActive: () => serving.has(id),
      takesEngines: (one) => serving.has(one),
    };
  };
  for (const before of ["a", "b", "z1", "z2"]) {
    node.peers.applyDigest(now, nodeDigest(before));
  }
  serve(id);
  t.true(node.isWatcher, "No other node serves.");
  serve("z1", "z2");
  t.false(node.isWatcher, "Two others serve.");
  serve("z1", id);
  t.true(node.isWatcher, "The other serving node follows it by id.");
});

test("nodes that don't reach the log are skipped as watchers", (t) => {
  const node = knowledge();
  const now = new ProcessClock().now();
  node.peers.applyDigest(now, nodeDigest("a", { reachesLog: false }));
  node.peers.applyDigest(now, nodeDigest("b"));
  t.true(node.isWatcher);
});

/**
 * Guards against a node that keeps sending to a removed server. The store
 * rejected one node's calls for seven seconds while a server's entry was
 * removed. All other nodes recorded the removal within 350 ms and reported it,
 * but that node took the entry for one that may have expired with the store and
 * sent to the server for another 2.6 s. In three runs, it alone logged no
 * departure.
 */
test("a node whose own calls fail trusts a removal that a peer has seen", (t) => {
  const peer = knowledge();
  const node = knowledge();
  for (const one of [peer, node]) one.registryEntry(presentEntry("i-1", 4));
  node.callFailed({
    reason: "unavailable",
    step: "read_log",
    peer: "store",
    message: "The store rejects this node.",
    outcome: "not_run",
  });
  const id = backendServerId("i-1");
  peer.registryEntry({ kind: "gone", offset: logOffset(9), id });
  t.deepEqual(peer.registry.all, []);
  tellRegistry(peer, node);
  t.deepEqual(node.registry.all, []);
});

test("in a large cluster, a notified node reaches the log until its own call fails", (t) => {
  const node = knowledge();
  const clock = new ProcessClock();
  const heardAt = clock.now();
  for (let other = 0; other < 20; other += 1) {
    node.peers.applyDigest(heardAt, nodeDigest(`a${other}`));
  }
  const later = instant(heardAt + 30_000);
  t.false(node.isLogReachable(later), "It has not reached the log yet.");
  node.caughtUp();
  t.true(node.isLogReachable(later));
  node.callFailed({
    reason: "unavailable",
    step: "read_log",
    peer: "store",
    message: "",
    outcome: "not_run",
  });
  t.false(node.isLogReachable(later));
});

test("while no node reaches the log, two nodes retry it for the others", (t) => {
  const node = knowledge();
  const now = new ProcessClock().now();
  for (const other of ["a", "b", "c"]) {
    node.peers.applyDigest(now, nodeDigest(other, { reachesLog: false }));
  }
  t.true(node.isWatcher, "It relies on no other node.");
  t.false(node.retriesAtFullRate);
});

// Guards against new servers that a node can't begin streams at because the
// store turns it away, and against what a peer knows of an earlier era.
test("software that begins streams is learnt from a peer only while the log doesn't answer", (t) => {
  const source = {
    host: "one.example",
    pathPrefix: "/notes/",
    service: serviceId("s"),
    software: softwareVersion("1"),
  };
  const peer = knowledge();
  peer.streamSourcesListed([source], true);
  const [turnedAway, reaching] = [knowledge(), knowledge()];
  reaching.caughtUp();
  for (const node of [turnedAway, reaching]) {
    readKnowledge(node, writeKnowledge(peer, EMPTY_REQUEST));
  }
  t.true(turnedAway.streamRecord.sources.isStored(source));
  t.true(turnedAway.streamRecord.sources.isComplete);
  t.false(reaching.streamRecord.sources.isStored(source));
  t.false(reaching.streamRecord.sources.isComplete);
});
