/** Tests how a node of a large cluster describes itself and the others. */
import { instant, milliseconds } from "@foxtailwind/core";
import {
  type Knowledge,
  NodePresence,
  ProcessClock,
  ServingNodes,
} from "@foxtailwind/node/relay";
import type { EngineDigest } from "@foxtailwind/protocol";
import test from "ava";
import { engineDigest, nodeDigest } from "./helpers/node_digest.ts";
import { nodeRecord } from "./helpers/node_record.ts";
import { createRelayBase } from "./helpers/relay_base.ts";

/** Creates a node that listens and has a configuration. */
function setUp(
  engines: () => readonly EngineDigest[] = () => [],
  write?: (line: string) => void,
) {
  const clock = new ProcessClock();
  const { base, knowledge } = createRelayBase({ part: "daemon", clock, write });
  const { settings } = base;
  const serving = new ServingNodes({
    self: settings.node.id,
    failureDomain: settings.node.failure_domain,
    processors: 0.324,
    peers: knowledge.peers,
    ownsEngines: () => false,
    isLeaving: () => false,
    onActivated: () => undefined,
    startedAt: clock.now(),
  });
  const presence = new NodePresence({
    ...base,
    knowledge,
    serving,
    engines,
    accounts: () => [],
    retries: () => [],
    isEstablished: () => true,
    unreachedServices: () => [],
    exchangePeriodMilliseconds: () => 300,
    limits: () => [],
  });
  presence.recordPorts({ peers: 1, callers: 2 });
  configure(knowledge);
  return { clock, knowledge, serving, presence };
}

function configure(knowledge: Knowledge): void {
  knowledge.configuration({
    version: 1,
    routes: [],
    services: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTime: milliseconds(1),
      idleTime: milliseconds(1),
    },
  });
}

test("a node that starts with sixty others shares limits with them before it hears them", (t) => {
  const { clock, knowledge, presence } = setUp();
  for (let node = 0; node < 60; node += 1) {
    knowledge.node(nodeRecord(`n${node}`));
  }
  const now = clock.now();
  t.is(presence.countNodes(now), 61);
  t.is(presence.countNodes(instant(now + 10_000)), 61);
  t.is(presence.countNodes(instant(now + 25_000)), 1);
});

test("callers get the addresses of serving nodes in their own failure domain", (t) => {
  const { clock, knowledge, serving, presence } = setUp();
  const now = clock.now();
  for (let node = 0; node < 60; node += 1) {
    knowledge.peers.applyDigest(
      now,
      nodeDigest(`n${node}`, {
        failureDomain: `d${node % 3}`,
        callerAddress: `n${node}`,
        capacity: node < 9 ? 1_350 : 324,
      }),
    );
  }
  t.is(
    presence.callerAddresses("d1").length,
    20,
    "All nodes, before the serving set is computed.",
  );
  serving.refresh(now);
  t.deepEqual(presence.callerAddresses("d1"), ["n1", "n4", "n7"]);
  const others = presence.callerAddresses("elsewhere");
  t.true(others.length >= 9);
  for (const node of ["n0", "n4", "n8"]) t.true(others.includes(node));
});

test("a node's digest gets a new sequence number only if it has changed", (t) => {
  const { knowledge, presence } = setUp();
  const first = presence.digest;
  const second = presence.digest;
  t.is(second.sequence, first.sequence);
  t.is(second.engineStates?.sequence, first.engineStates?.sequence);
  knowledge.adapterVersion("m" as never, "a" as never, 1);
  knowledge.operatorsTold(7 as never);
  t.true(presence.digest.sequence > first.sequence);
});

test("an engine that can't be described is left out, logged once and counted", (t) => {
  const lines: string[] = [];
  const { knowledge, presence } = setUp(
    () => [engineDigest("invalid", { running: -1 }), engineDigest("valid")],
    (line) => lines.push(line),
  );
  for (let exchange = 0; exchange < 3; exchange += 1) {
    const { engineStates } = presence.digest;
    t.deepEqual(engineStates?.engines.map(({ engine }) => engine), ["valid"]);
  }
  const rejections = lines.filter((line) => line.includes("can't be encoded"));
  t.is(rejections.length, 1);
  t.true(rejections[0]?.includes('"id":"invalid"'));
  t.is(knowledge.workCounts.counts.get("digest_entry_rejected"), 3);
});
