import { STAND_IN_MODEL } from "@foxtailwind/bench";
import {
  adapterId,
  backendServerId,
  failureDomainId,
  milliseconds,
  nodeId,
} from "@foxtailwind/core";
import {
  EngineCandidates,
  EngineOwners,
  ServerLoads,
} from "@foxtailwind/node/relay";
import type { EngineDigest } from "@foxtailwind/protocol";
import test from "ava";
import { engineDigest, nodeDigest } from "./helpers/node_digest.ts";
import { addOwnedEngine, createRelayBase } from "./helpers/relay_base.ts";
import { ScriptedEngine } from "./helpers/scripted_engine.ts";

const ENGINE = backendServerId("engine");
const OWNER = nodeId("node-2");
const ADAPTER = adapterId("a");
const START = 1_000;

/**
 * Describes an engine whose owner says what services it doesn't reach.
 * @param unreachedServices The services.
 * @param heldBefore Whether only an earlier digest names the adapter, and the
 * start of that one.
 */
function describe(
  unreachedServices: readonly string[],
  heldBefore?: { readonly start: number },
) {
  const { base, knowledge } = createRelayBase({ part: "callers" });
  addOwnedEngine(knowledge, { engine: ENGINE, start: START, owner: OWNER });
  const engine = engineDigest(ENGINE, {
    start: START,
    cacheSize: 50,
    loadMilliseconds: 288,
    reloadMilliseconds: 29,
    adapters: [{
      model: STAND_IN_MODEL,
      adapter: ADAPTER,
      version: 1,
      isLoading: false,
    }],
  });
  const now = base.clock.now();
  const applyDigest = (sequence: number, state: EngineDigest) => {
    knowledge.peers.applyDigest(
      now,
      nodeDigest(OWNER, {
        unreachedServices: [...unreachedServices],
        engineStates: {
          accounts: [],
          retries: [],
          sequence,
          engines: [state],
        },
      }),
    );
  };
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
  const describeNow = () =>
    server && candidates.describe(now, server, {
      model: STAND_IN_MODEL,
      adapter: ADAPTER,
      promptTokens: 10,
      outputTokens: 10,
      minimumVersion: 0,
    });
  if (heldBefore === undefined) {
    applyDigest(1, engine);
    return describeNow();
  }
  applyDigest(1, { ...engine, start: heldBefore.start });
  describeNow();
  applyDigest(2, { ...engine, adapters: [] });
  return describeNow();
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

test("an adapter that an engine held in an earlier digest loads quickly there", (t) => {
  const candidate = describe([], { start: START });
  t.false(candidate?.holdsAdapter);
  t.deepEqual(candidate?.load, { source: "cache", time: milliseconds(29) });
});

test("an adapter that an engine held before its restart loads from the store", (t) => {
  const candidate = describe([], { start: START + 1 });
  t.false(candidate?.holdsAdapter);
  t.deepEqual(candidate?.load, { source: "store", time: milliseconds(288) });
});
