import { STAND_IN_MODEL } from "@foxtailwind/bench";
import {
  adapterId,
  backendServerId,
  instant,
  nodeId,
  serverStart,
} from "@foxtailwind/core";
import {
  AdapterGrants,
  type EngineOwnerAddress,
  EngineOwners,
  type GrantAnswer,
  RequestLimits,
  RequestPlacer,
  ServerLoads,
  type UseRequest,
} from "@foxtailwind/node/relay";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { collectGarbage } from "./helpers/collect_garbage.ts";
import { engineDigest, ownerDigest } from "./helpers/node_digest.ts";
import {
  addOwnedEngine,
  addRegistryEntry,
  createRelayBase,
} from "./helpers/relay_base.ts";
import { ScriptedEngine } from "./helpers/scripted_engine.ts";

const ENGINE = backendServerId("engine");
const OWNER = nodeId("node-2");
const ADAPTER = adapterId("a");
const OLD_START = serverStart(1_000);
const NEW_START = serverStart(2_000);

/** Grants with answers that the test controls. */
class ScriptedGrants extends AdapterGrants {
  requests = 0;
  releases = 0;
  readonly useEnd = new AbortController();
  start = NEW_START;
  /** Whether the peer still owns the engine. */
  isOwner = true;
  /** Called before the answer is returned. */
  beforeAnswer: () => void = () => undefined;

  /** Whether the peer hangs and doesn't answer. */
  isSilent = false;

  override async requestUse(
    _target: EngineOwnerAddress,
    _request: UseRequest,
    signal: AbortSignal,
  ): Promise<GrantAnswer> {
    this.requests += 1;
    if (this.isSilent) return await waitForAbort(signal);
    await Promise.resolve();
    this.beforeAnswer();
    if (!this.isOwner) return { kind: "not_owner" };
    return {
      kind: "granted",
      version: 1,
      start: this.start,
      endSignal: this.useEnd.signal,
      release: () => {
        this.releases += 1;
      },
    };
  }
}

function waitForAbort(signal: AbortSignal): Promise<GrantAnswer> {
  return new Promise((resolve) => {
    signal.addEventListener("abort", () => {
      resolve({ kind: "unreachable" });
    }, { once: true });
  });
}

/**
 * Sets up a node and the peer that owns an engine.
 * @param registered The engine's start in the node's registry.
 * @param reported The start in the owner's digest.
 * @returns The placer's functions and what it works with.
 */
function setUp(registered: number, reported: number) {
  const { base, knowledge } = createRelayBase({ part: "callers" });
  const { settings, clock } = base;
  const register = (start: number, offset: number, leaving = false) => {
    addRegistryEntry(knowledge, {
      engine: ENGINE,
      start,
      offset,
      leaving,
    });
  };
  addOwnedEngine(knowledge, {
    engine: ENGINE,
    start: registered,
    owner: OWNER,
  });
  const digest = ownerDigest(OWNER, [
    engineDigest(ENGINE, {
      start: reported,
      adapters: [{
        model: STAND_IN_MODEL,
        adapter: ADAPTER,
        version: 1,
        isLoading: false,
      }],
    }),
  ]);
  knowledge.peers.applyDigest(clock.now(), digest);
  const owners = new EngineOwners({
    ...base,
    knowledge,
    control: new ScriptedEngine(2),
    log: undefined as never,
    isLeaving: () => false,
    isUnreached: () => false,
    onEngineGained: () => undefined,
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
      onChange: () => undefined,
    }),
    clock,
  });
  const place = (
    servers = knowledge.registry.all,
    needsKnownSoftware = false,
  ) =>
    placer.placeOnEngine(
      {
        model: STAND_IN_MODEL,
        adapter: ADAPTER,
        promptTokens: 1,
        outputTokens: 1,
      },
      servers,
      {
        firstEventDeadline: clock.now(),
        longestPause: undefined,
        needsKnownSoftware,
        signal: new AbortController().signal,
        onAnswer: () => undefined,
      },
    );
  const placeResumable = () => place(knowledge.registry.all, true);
  return { clock, grants, knowledge, place, placeResumable, register };
}

test("an owner's digest of an older start of its engine is ignored", async (t) => {
  const { grants, place } = setUp(NEW_START, OLD_START);
  t.is(await place(), undefined);
  t.is(grants.requests, 0);
});

test("an owner's digest of a newer start is used", async (t) => {
  const { place } = setUp(OLD_START, NEW_START);
  t.is((await place())?.adapterVersion, 1);
});

test("a use that was granted for an older start is released", async (t) => {
  const { grants, place } = setUp(NEW_START, NEW_START);
  grants.start = OLD_START;
  t.is(await place(), undefined);
  t.is(grants.releases, 1);
});

test("a use that was granted before the engine restarted is released", async (t) => {
  const { grants, place, register } = setUp(OLD_START, OLD_START);
  grants.start = OLD_START;
  grants.beforeAnswer = () => {
    register(NEW_START, 2);
  };
  t.is(await place(), undefined);
  t.is(grants.releases, 1);
});

test("a use that its owner has ended is released", async (t) => {
  const { grants, place } = setUp(NEW_START, NEW_START);
  grants.beforeAnswer = () => {
    grants.useEnd.abort();
  };
  t.is(await place(), undefined);
  t.is(grants.releases, 1);
});

// Guards against requests that reach an engine long after it announced that it
// leaves, because the placer waited for several hanging owners in turn.
test("an engine that leaves while its owner is asked gets no request", async (t) => {
  for (const isOwner of [true, false]) {
    const { grants, place, register } = setUp(NEW_START, NEW_START);
    grants.isOwner = isOwner;
    grants.beforeAnswer = () => {
      register(NEW_START, 2, true);
    };
    t.is(await place(), undefined, `The owner is known: ${isOwner}.`);
    t.is(grants.releases, isOwner ? 1 : 0);
  }
});

test("an engine that has left since the servers were listed isn't asked", async (t) => {
  const { grants, knowledge, place, register } = setUp(NEW_START, NEW_START);
  const before = knowledge.registry.all;
  register(NEW_START, 2, true);
  t.is(await place(before), undefined);
  t.is(grants.requests, 0);
});

// Guards against requests that wait for a silent owner until their callers
// give up, because the timeout of the wait was garbage-collected.
test("the wait for a silent owner times out", async (t) => {
  const { grants, place } = setUp(NEW_START, NEW_START);
  grants.isSilent = true;
  const placed = place();
  await collectGarbage();
  const outcome = await Promise.race([placed, sleep(3_000, "pending")]);
  t.not(outcome, "pending");
});

// Guards against streams that go on at other software, since their engine has
// started again with it and the registry doesn't tell yet.
test("a stream that may be resumed isn't sent to a start that isn't registered", async (t) => {
  const { grants, place, placeResumable } = setUp(OLD_START, OLD_START);
  grants.start = NEW_START;
  t.is(await placeResumable(), undefined);
  t.is(grants.releases, 1);
  t.is((await place())?.adapterVersion, 1, "Other requests are.");
});

test("a stream that may be resumed is sent to the start that is registered", async (t) => {
  const { placeResumable } = setUp(NEW_START, NEW_START);
  t.is((await placeResumable())?.adapterVersion, 1);
});

test("a start that is registered while its owner is asked runs no stream for the one before", async (t) => {
  const { grants, placeResumable, register } = setUp(OLD_START, OLD_START);
  grants.start = NEW_START;
  grants.beforeAnswer = () => {
    register(NEW_START, 2);
  };
  t.is(await placeResumable(), undefined);
  t.is(grants.releases, 1);
});

// Guards against nodes that are out of step: they know neither the engine's
// owner nor that it has started again.
test("without its owner's grant, a stream that may be resumed needs a registry that is up to date", async (t) => {
  const { clock, grants, knowledge, place, placeResumable } = setUp(
    NEW_START,
    NEW_START,
  );
  grants.isOwner = false;
  t.is(await placeResumable(), undefined, "Nothing was ever read.");
  const now = clock.now();
  knowledge.registryProofs.recordRead(instant(now - 3_000));
  t.is(await placeResumable(), undefined, "What was read is old.");
  t.not(await place(), undefined, "Other requests need no proof.");
  knowledge.registryProofs.recordRead(clock.now());
  t.not(await placeResumable(), undefined);
});
