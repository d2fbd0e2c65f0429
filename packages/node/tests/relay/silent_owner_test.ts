import { STAND_IN_MODEL } from "@foxtailwind/bench";
import {
  adapterId,
  backendServerId,
  instant,
  later,
  milliseconds,
  nodeId,
} from "@foxtailwind/core";
import {
  AdapterGrants,
  type EngineOwnerAddress,
  EngineOwners,
  type GrantAnswer,
  type PlacementAnswer,
  RequestLimits,
  RequestPlacer,
  ServerLoads,
  type UseRequest,
} from "@foxtailwind/node/relay";
import test from "ava";
import { setImmediate, setTimeout as sleep } from "node:timers/promises";
import { engineDigest, ownerDigest } from "./helpers/node_digest.ts";
import { addOwnedEngine, createRelayBase } from "./helpers/relay_base.ts";
import { ScriptedEngine } from "./helpers/scripted_engine.ts";

const ENGINES = ["1", "2"].map((index) => ({
  engine: backendServerId(`engine-${index}`),
  owner: nodeId(`owner-${index}`),
}));
/** How long requests wait for a place. */
const LONGEST_WAIT_MILLISECONDS = 960;
/** Enough for an owner that has queued a request to be overdue. */
const LONG_WAIT_MILLISECONDS = 5_000;
const START = 1_000;
/** Longer than an owner may be silent, and shorter than twice that. */
const GRANT_DELAY_MILLISECONDS = 130;

type OwnerBehaviour = (
  request: UseRequest,
  signal: AbortSignal,
  onQueued: () => void,
) => Promise<GrantAnswer>;

/** Grants by owners that behave as the test says, in the order of questions. */
class ScriptedOwners extends AdapterGrants {
  readonly requests: UseRequest[] = [];
  behaviours: readonly OwnerBehaviour[] = [];

  override requestUse(
    _target: EngineOwnerAddress,
    request: UseRequest,
    signal: AbortSignal,
    onQueued: () => void,
  ): Promise<GrantAnswer> {
    const behaviour = this.behaviours[this.requests.length];
    this.requests.push(request);
    return behaviour?.(request, signal, onQueued) ??
      Promise.resolve({ kind: "not_owner" });
  }
}

const silent: OwnerBehaviour = (_request, signal) =>
  new Promise((resolve) => {
    signal.addEventListener("abort", () => {
      resolve({ kind: "unreachable" });
    }, { once: true });
  });

const queueing: OwnerBehaviour = (request, signal, onQueued) => {
  onQueued();
  return silent(request, signal, onQueued);
};

const granting: OwnerBehaviour = () =>
  Promise.resolve({
    kind: "granted",
    version: 1,
    start: undefined,
    endSignal: new AbortController().signal,
    release: () => undefined,
  });

const grantingLate: OwnerBehaviour = async (...question) => {
  await sleep(GRANT_DELAY_MILLISECONDS);
  return await granting(...question);
};

function refusing(retryAfter: number): OwnerBehaviour {
  return () =>
    Promise.resolve({
      kind: "no_room",
      retryAfter: milliseconds(retryAfter),
    });
}

/** Places a request on two engines with room, neither holding its adapter. */
async function place(
  behaviours: readonly OwnerBehaviour[],
  longestWait = LONGEST_WAIT_MILLISECONDS,
) {
  const { base, knowledge } = createRelayBase({ part: "callers" });
  const { settings, clock } = base;
  for (const { engine, owner } of ENGINES) {
    addOwnedEngine(knowledge, { engine, owner, start: START });
    knowledge.peers.applyDigest(
      clock.now(),
      ownerDigest(owner, [engineDigest(engine, { start: START })]),
    );
  }
  const owners = new EngineOwners({
    ...base,
    knowledge,
    control: new ScriptedEngine(2),
    log: undefined as never,
    isLeaving: () => false,
    isUnreached: () => false,
    onEngineGained: () => undefined,
  });
  const { id: self, failure_domain: failureDomain } = settings.node;
  const grants = new ScriptedOwners(self, owners, undefined as never);
  grants.behaviours = behaviours;
  const placer = new RequestPlacer({
    self,
    knowledge,
    owners,
    grants,
    loads: new ServerLoads(failureDomain),
    limits: new RequestLimits({
      self,
      knowledge,
      clock,
      logger: base.logger,
      onChange: () => undefined,
    }),
    clock,
  });
  const answers: PlacementAnswer[] = [];
  let room: { retryAfter: number; isCertain: boolean } | undefined;
  const now = clock.now();
  const placement = await placer.placeOnEngine(
    {
      model: STAND_IN_MODEL,
      adapter: adapterId("a"),
      promptTokens: 1,
      outputTokens: 1,
    },
    knowledge.registry.all,
    {
      firstEventDeadline: instant(now + 900),
      longestPause: undefined,
      needsKnownSoftware: false,
      signal: AbortSignal.timeout(longestWait),
      onAnswer: (answer) => {
        answers.push(answer);
      },
      queueing: {
        priority: 0,
        account: undefined,
        waitsUntil: later(now, milliseconds(longestWait)),
      },
      onNoRoom: (retryAfter, isCertain) => {
        room = { retryAfter, isCertain };
      },
    },
  );
  return { placement, requests: grants.requests, answers, room };
}

// Guards against requests that wait for a silent owner until their time is
// over, and are refused although another engine has room.
test("a request whose owner is silent is placed on another engine in time", async (t) => {
  const { placement } = await place([silent, granting]);
  t.is(placement?.adapterVersion, 1);
});

// Guards against logs that blame an owner for questions that the node withdrew.
test("only an owner whose answer is overdue is unreachable once a request is placed elsewhere", async (t) => {
  const placed = [
    await place([silent, granting]),
    await place([queueing, granting], LONG_WAIT_MILLISECONDS),
    await place([grantingLate, queueing]),
    await place([grantingLate, silent]),
  ];
  await setImmediate();
  t.deepEqual(
    placed.map(({ answers }) => answers.map(({ answer }) => answer)),
    [
      ["granted", "unreachable"],
      ["granted", "unreachable"],
      ["granted", "withdrawn"],
      ["granted", "withdrawn"],
    ],
  );
});

test("one owner is asked where it grants, and all if none can begin in time", async (t) => {
  t.is((await place([granting])).requests.length, 1);
  const joined = await place([refusing(700), refusing(500), granting]);
  t.is(joined.placement?.adapterVersion, 1);
  t.deepEqual(
    joined.requests.map(({ queueing }) => queueing?.onlyInTime),
    [true, true, false],
  );
});

test("a request that no engine can begin is refused at once with the first time that one named", async (t) => {
  const { placement, requests, room } = await place([
    refusing(1_400),
    refusing(1_200),
  ]);
  t.is(placement, undefined);
  t.is(requests.length, 2);
  t.deepEqual(room, { retryAfter: 1_200, isCertain: true });
});
