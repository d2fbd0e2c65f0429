import { STAND_IN_MODEL } from "@foxtailwind/bench";
import {
  adapterId,
  backendServerId,
  nodeId,
  serverStart,
} from "@foxtailwind/core";
import {
  AdapterGrants,
  EngineOwners,
  type GrantAddress,
  type GrantAnswer,
  RequestLimits,
  RequestPlacer,
  ServerLoads,
  type UseRequest,
} from "@foxtailwind/node/relay";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { collectGarbage } from "./helpers/collect_garbage.ts";
import { nodeDigest } from "./helpers/node_digest.ts";
import { knowEngine, registerEngine, relayBase } from "./helpers/relay_base.ts";
import { ScriptedEngine } from "./helpers/scripted_engine.ts";

const ENGINE = backendServerId("engine");
const OWNER = nodeId("node-2");
const ADAPTER = adapterId("a");
const OLD = serverStart(1_000);
const NEW = serverStart(2_000);

/** Grants that a peer gives as a test says. */
class ScriptedGrants extends AdapterGrants {
  asked = 0;
  released = 0;
  readonly over = new AbortController();
  start = NEW;
  /** Whether the peer still owns the engine. */
  isOwner = true;
  /** Called before the answer comes. */
  meanwhile: () => void = () => undefined;

  /** Whether the peer stands still, and answers nothing. */
  isSilent = false;

  override async ask(
    _where: GrantAddress,
    _request: UseRequest,
    signal: AbortSignal,
  ): Promise<GrantAnswer> {
    this.asked += 1;
    if (this.isSilent) return await endOf(signal);
    await Promise.resolve();
    this.meanwhile();
    if (!this.isOwner) return { kind: "not_owner" };
    return {
      kind: "granted",
      version: 1,
      start: this.start,
      over: this.over.signal,
      release: () => {
        this.released += 1;
      },
    };
  }
}

function endOf(signal: AbortSignal): Promise<GrantAnswer> {
  return new Promise((resolve) => {
    signal.addEventListener("abort", () => {
      resolve({ kind: "unreachable" });
    }, { once: true });
  });
}

/** A node that knows an engine at a start, and a peer that owns it. */
function setUp(known: number, told: number) {
  const { base, knowledge } = relayBase({ part: "callers" });
  const { settings, clock } = base;
  const register = (start: number, offset: number, leaving = false) => {
    registerEngine(knowledge, {
      engine: ENGINE,
      start,
      offset,
      leaving,
    });
  };
  knowEngine(knowledge, { engine: ENGINE, start: known, owner: OWNER });
  const digest = nodeDigest(OWNER, {
    engineStates: {
      sequence: 1,
      engines: [{
        engine: ENGINE,
        start: told,
        waitMilliseconds: 0,
        room: 1,
        isReachable: true,
        isFull: false,
        running: 0,
        adapters: [{
          model: STAND_IN_MODEL,
          adapter: ADAPTER,
          version: 1,
          isLoading: false,
        }],
      }],
    },
  });
  knowledge.peers.heard(clock.now(), digest);
  const owners = new EngineOwners({
    ...base,
    knowledge,
    control: new ScriptedEngine(2),
    log: undefined as never,
    isLeaving: () => false,
    gained: () => undefined,
  });
  const { id, failure_domain: failureDomain } = settings.node;
  const grants = new ScriptedGrants(id, owners, undefined as never);
  const placer = new RequestPlacer({
    self: id,
    knowledge,
    owners,
    grants,
    loads: new ServerLoads(failureDomain),
    limits: new RequestLimits({
      self: id,
      knowledge,
      clock,
      logger: base.logger,
      changed: () => undefined,
    }),
    clock,
  });
  const place = (servers = knowledge.registry.all) =>
    placer.placeOnEngine(
      {
        model: STAND_IN_MODEL,
        adapter: ADAPTER,
        promptTokens: 1,
        outputTokens: 1,
      },
      servers,
      {
        wantedBy: clock.now(),
        longestPause: undefined,
        signal: new AbortController().signal,
        note: () => undefined,
      },
    );
  return { grants, knowledge, place, register };
}

test("what an owner says of an older start of its engine is not believed", async (t) => {
  const { grants, place } = setUp(NEW, OLD);
  t.is(await place(), undefined);
  t.is(grants.asked, 0);
});

test("an owner that knows of a newer start is believed", async (t) => {
  const { place } = setUp(OLD, NEW);
  t.is((await place())?.adapterVersion, 1);
});

test("a use that was granted at an older start is given back", async (t) => {
  const { grants, place } = setUp(NEW, NEW);
  grants.start = OLD;
  t.is(await place(), undefined);
  t.is(grants.released, 1);
});

test("a use that was granted before the engine started again is given back", async (t) => {
  const { grants, place, register } = setUp(OLD, OLD);
  grants.start = OLD;
  grants.meanwhile = () => {
    register(NEW, 2);
  };
  t.is(await place(), undefined);
  t.is(grants.released, 1);
});

test("a use that its owner has ended is given back", async (t) => {
  const { grants, place } = setUp(NEW, NEW);
  grants.meanwhile = () => {
    grants.over.abort();
  };
  t.is(await place(), undefined);
  t.is(grants.released, 1);
});

// Guards against requests that reach an engine long after it said that it
// leaves: owners that stand still are waited for, one after the other.
test("an engine that leaves while its owner is asked gets no request", async (t) => {
  for (const isOwner of [true, false]) {
    const { grants, place, register } = setUp(NEW, NEW);
    grants.isOwner = isOwner;
    grants.meanwhile = () => {
      register(NEW, 2, true);
    };
    t.is(await place(), undefined, `The owner is known: ${isOwner}.`);
    t.is(grants.released, isOwner ? 1 : 0);
  }
});

test("an engine that has left since the servers were listed is not asked", async (t) => {
  const { grants, knowledge, place, register } = setUp(NEW, NEW);
  const before = knowledge.registry.all;
  register(NEW, 2, true);
  t.is(await place(before), undefined);
  t.is(grants.asked, 0);
});

// Guards against requests that wait for a silent owner until their callers
// leave, since the limit of the wait was collected as garbage.
test("an owner that says nothing is given up in time", async (t) => {
  const { grants, place } = setUp(NEW, NEW);
  grants.isSilent = true;
  const placed = place();
  await collectGarbage();
  const given = await Promise.race([placed, sleep(3_000, "held")]);
  t.not(given, "held");
});
