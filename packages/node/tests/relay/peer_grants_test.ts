import { STAND_IN_MODEL } from "@foxtailwind/bench";
import {
  adapterId,
  backendServerId,
  milliseconds,
  nodeId,
  serverStart,
} from "@foxtailwind/core";
import { AdapterGrants, EngineOwners } from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import {
  addOwnedEngine,
  addRegistryEntry,
  createRelayBase,
} from "./helpers/relay_base.ts";
import { servePeers } from "./helpers/peer_node.ts";
import { ScriptedEngine } from "./helpers/scripted_engine.ts";

const ENGINE = backendServerId("engine");
const FIRST_START = serverStart(1_000);
const SECOND_START = serverStart(2_000);

/** Sets up a node that owns an engine, and a peer that requests uses. */
async function setUp(t: ExecutionContext) {
  const { base, knowledge } = createRelayBase({ part: "peers" });
  const { settings } = base;
  const control = new ScriptedEngine(2);
  control.adapters.restart(FIRST_START);
  control.adapters.models = [STAND_IN_MODEL];
  const owners = new EngineOwners({
    ...base,
    knowledge,
    control,
    log: undefined as never,
    isLeaving: () => false,
    isUnreached: () => false,
    onEngineGained: () => undefined,
  });
  const peer = { base, knowledge, id: "peer", owners };
  const { port, server, channels } = await servePeers(t, peer);
  t.teardown(() => {
    owners.stop();
  });
  const register = (start: number, offset: number) => {
    addRegistryEntry(knowledge, { engine: ENGINE, start, offset });
    owners.refresh();
  };
  const { id: owner } = settings.node;
  addOwnedEngine(knowledge, { engine: ENGINE, start: FIRST_START, owner });
  owners.refresh();
  const target = {
    engine: ENGINE,
    owner,
    address: `127.0.0.1:${port}`,
  };
  const grants = new AdapterGrants(nodeId("peer"), owners, channels);
  const requestUse = () =>
    grants.requestUse(target, {
      model: STAND_IN_MODEL,
      adapter: adapterId("a"),
      minimumVersion: 0,
      prefillTime: milliseconds(1),
      timeLeft: milliseconds(1_000),
      needsBreak: true,
    }, AbortSignal.timeout(10_000));
  const waitForUse = (adapter: string, onQueued: () => void) =>
    grants.requestUse(
      target,
      {
        model: STAND_IN_MODEL,
        adapter: adapterId(adapter),
        minimumVersion: 0,
        prefillTime: milliseconds(1),
        timeLeft: milliseconds(60_000),
        needsBreak: false,
        queueing: {
          priority: 1,
          work: 100,
          longestWait: milliseconds(60_000),
          onlyInTime: false,
        },
      },
      AbortSignal.timeout(20_000),
      onQueued,
    );
  return {
    requestUse,
    waitForUse,
    control,
    grants,
    owners,
    register,
    target,
    knowledge,
    server,
    channels,
  };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(5);
}

test("a peer's use ends with the start that it was granted for", async (t) => {
  const { requestUse, control, register } = await setUp(t);
  const granted = await requestUse();
  if (granted.kind !== "granted") return t.fail(granted.kind);
  t.is(granted.start, FIRST_START);
  t.false(granted.endSignal.aborted);
  control.adapters.restart(SECOND_START);
  control.adapters.models = [STAND_IN_MODEL];
  register(SECOND_START, 2);
  await waitUntil(() => granted.endSignal.aborted);
  const next = await requestUse();
  t.true(next.kind === "granted" && next.start === SECOND_START);
});

test("a peer reports to the owner that an engine lacks a granted adapter", async (t) => {
  const { requestUse, control, grants, owners, target } = await setUp(t);
  const granted = await requestUse();
  t.is(granted.kind, "granted");
  control.adapters.restart(SECOND_START);
  grants.reportMiss(target);
  await waitUntil(() => owners.find(ENGINE)?.digest.start === SECOND_START);
  t.deepEqual(owners.find(ENGINE)?.digest.adapters, []);
});

/** Fills the engine, so that a further request has to wait for a place. */
async function setUpFull(t: ExecutionContext) {
  const node = await setUp(t);
  const isFull = () => node.owners.find(ENGINE)?.digest.isFull === true;
  while (!isFull()) {
    const answer = await node.waitForUse("a", () => undefined);
    if (answer.kind !== "granted") t.fail(answer.kind);
  }
  let isQueued = false;
  const waiting = node.waitForUse("a", () => {
    isQueued = true;
  });
  await waitUntil(() => isQueued);
  return { ...node, waiting };
}

test("a request whose owner dies while it waits may ask elsewhere at once", async (t) => {
  const { waiting, server } = await setUpFull(t);
  server.abortConnections();
  t.is((await waiting).kind, "unreachable");
});

test("the places and the waiting requests of a node that dies are freed", async (t) => {
  const { waiting, channels, owners, knowledge } = await setUpFull(t);
  t.is(knowledge.admissions.waiting.get(1), 1);
  channels.close();
  t.is((await waiting).kind, "unreachable");
  await waitUntil(() => owners.find(ENGINE)?.digest.running === 0);
  t.is(knowledge.admissions.waiting.get(1), 0);
});
