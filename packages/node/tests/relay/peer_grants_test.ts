import { STAND_IN_MODEL } from "@foxtailwind/bench";
import {
  adapterId,
  backendServerId,
  failureDomainId,
  milliseconds,
  nodeId,
  serverStart,
} from "@foxtailwind/core";
import { PeerChannels, PeerServer } from "@foxtailwind/node";
import {
  AdapterGrants,
  EngineOwners,
  PeerDatagrams,
  PeerExchange,
  StreamDirectory,
} from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import {
  addOwnedEngine,
  addRegistryEntry,
  createRelayBase,
} from "./helpers/relay_base.ts";
import { ScriptedEngine } from "./helpers/scripted_engine.ts";

const ENGINE = backendServerId("engine");
const FIRST_START = serverStart(1_000);
const SECOND_START = serverStart(2_000);

/** Sets up a node that owns an engine, and a peer that requests uses. */
async function setUp(t: ExecutionContext) {
  const { base, knowledge } = createRelayBase({ part: "peers" });
  const { settings, clock, logger } = base;
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
  const channels = new PeerChannels();
  const exchange = new PeerExchange({
    knowledge,
    owners,
    channels,
    streams: new StreamDirectory({
      knowledge,
      channels,
      datagrams: new PeerDatagrams(),
      clock,
    }),
    clock,
    logger,
    self: { id: nodeId("peer"), failureDomain: failureDomainId("d") },
    digest: () => undefined as never,
  });
  const server = new PeerServer([exchange.registration]);
  const port = await server.listen({ host: "127.0.0.1", port: 0 });
  t.teardown(() => {
    owners.stop();
    channels.close();
    server.abortConnections();
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
  return { requestUse, control, grants, owners, register, target };
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
