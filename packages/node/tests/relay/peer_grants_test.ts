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
  PeerExchange,
} from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { knowEngine, registerEngine, relayBase } from "./helpers/relay_base.ts";
import { ScriptedEngine } from "./helpers/scripted_engine.ts";

const ENGINE = backendServerId("engine");
const FIRST = serverStart(1_000);
const SECOND = serverStart(2_000);

/** A node that owns an engine, and a peer that asks it for uses. */
async function setUp(t: ExecutionContext) {
  const { base, knowledge } = relayBase({ part: "peers" });
  const { settings, clock, logger } = base;
  const control = new ScriptedEngine(2);
  control.adapters.restart(FIRST);
  control.adapters.models = [STAND_IN_MODEL];
  const owners = new EngineOwners({
    ...base,
    knowledge,
    control,
    log: undefined as never,
    isLeaving: () => false,
    gained: () => undefined,
  });
  const channels = new PeerChannels();
  const exchange = new PeerExchange({
    knowledge,
    owners,
    channels,
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
    server.cutConnections();
  });
  const register = (start: number, offset: number) => {
    registerEngine(knowledge, { engine: ENGINE, start, offset });
    owners.refresh();
  };
  const { id: owner } = settings.node;
  knowEngine(knowledge, { engine: ENGINE, start: FIRST, owner });
  owners.refresh();
  const where = {
    engine: ENGINE,
    owner,
    address: `127.0.0.1:${port}`,
  };
  const grants = new AdapterGrants(nodeId("peer"), owners, channels);
  const ask = () =>
    grants.ask(where, {
      model: STAND_IN_MODEL,
      adapter: adapterId("a"),
      minimumVersion: 0,
      reading: milliseconds(1),
      timeLeft: milliseconds(1_000),
      needsBreak: true,
    }, AbortSignal.timeout(10_000));
  return { ask, control, grants, owners, register, where };
}

async function until(isSo: () => boolean): Promise<void> {
  while (!isSo()) await sleep(5);
}

test("a peer's use ends with the start that it was granted at", async (t) => {
  const { ask, control, register } = await setUp(t);
  const granted = await ask();
  if (granted.kind !== "granted") return t.fail(granted.kind);
  t.is(granted.start, FIRST);
  t.false(granted.over.aborted);
  control.adapters.restart(SECOND);
  control.adapters.models = [STAND_IN_MODEL];
  register(SECOND, 2);
  await until(() => granted.over.aborted);
  const next = await ask();
  t.true(next.kind === "granted" && next.start === SECOND);
});

test("a peer that finds an engine without what it was granted tells the owner", async (t) => {
  const { ask, control, grants, owners, where } = await setUp(t);
  const granted = await ask();
  t.is(granted.kind, "granted");
  control.adapters.restart(SECOND);
  grants.missed(where);
  await until(() => owners.find(ENGINE)?.digest.start === SECOND);
  t.deepEqual(owners.find(ENGINE)?.digest.adapters, []);
});
