import { STAND_IN_MODEL } from "@foxtailwind/bench";
import {
  adapterId,
  backendServerId,
  failureDomainId,
  nodeId,
} from "@foxtailwind/core";
import {
  EngineCandidates,
  EngineOwners,
  ServerLoads,
} from "@foxtailwind/node/relay";
import test from "ava";
import { nodeDigest } from "./helpers/node_digest.ts";
import { addOwnedEngine, createRelayBase } from "./helpers/relay_base.ts";
import { ScriptedEngine } from "./helpers/scripted_engine.ts";

const ENGINE = backendServerId("engine");
const OWNER = nodeId("node-2");
const ADAPTER = adapterId("a");
const START = 1_000;

/** Describes an engine whose owner says what services it doesn't reach. */
function describe(unreachedServices: readonly string[]) {
  const { base, knowledge } = createRelayBase({ part: "callers" });
  addOwnedEngine(knowledge, { engine: ENGINE, start: START, owner: OWNER });
  const engine = {
    engine: ENGINE,
    start: START,
    waitMilliseconds: 0,
    room: 1,
    isReachable: true,
    isFull: false,
    cacheSize: 0,
    loadMilliseconds: 0,
    reloadMilliseconds: 0,
    running: 0,
    adapters: [{
      model: STAND_IN_MODEL,
      adapter: ADAPTER,
      version: 1,
      isLoading: false,
    }],
  };
  const now = base.clock.now();
  knowledge.peers.applyDigest(
    now,
    nodeDigest(OWNER, {
      unreachedServices: [...unreachedServices],
      engineStates: {
        accounts: [],
        retries: [],
        sequence: 1,
        engines: [engine],
      },
    }),
  );
  const candidates = new EngineCandidates({
    self: base.settings.node.id,
    knowledge,
    owners: new EngineOwners({
      ...base,
      knowledge,
      control: new ScriptedEngine(2),
      log: undefined as never,
      isLeaving: () => false,
      isUnreached: () => false,
      onEngineGained: () => undefined,
    }),
    loads: new ServerLoads(failureDomainId("d")),
  });
  const server = knowledge.registry.find(ENGINE);
  return server && candidates.describe(now, server, {
    model: STAND_IN_MODEL,
    adapter: ADAPTER,
    promptTokens: 10,
    outputTokens: 10,
    minimumVersion: 0,
  });
}

test("an engine is described by its owner's digest", (t) => {
  const candidate = describe([]);
  t.is(candidate?.owner, OWNER);
  t.true(candidate?.holdsAdapter);
  t.true(candidate?.canOrderLoads);
});

// Guards against requests that wait for an owner which can't order the engine.
test("an owner that doesn't reach its engine's service is not asked", (t) => {
  const service = describe([])?.server.service;
  const candidate = describe([service ?? ""]);
  t.is(candidate?.id, ENGINE);
  t.is(candidate?.owner, undefined);
  t.false(candidate?.canOrderLoads);
  t.false(candidate?.holdsAdapter);
});
