import {
  adapterId,
  AdapterPreference,
  backendServerId,
  type EngineState,
  milliseconds,
  modelId,
  rankEngines,
} from "@foxtailwind/core";
import test from "ava";

const USE = {
  model: modelId("m"),
  adapter: adapterId("a"),
  promptTokens: 600,
};
const IDS = ["e1", "e2", "e3", "e4"].map(backendServerId);
const { first: FIRST } = new AdapterPreference(
  "m/a",
  IDS.map((id) => ({ id })),
);
const ORDER = [...FIRST, ...IDS.filter((id) => !FIRST.includes(id))];

function engines(
  change: (rank: number) => Partial<EngineState> = () => ({}),
): readonly EngineState[] {
  return IDS.map((id) => ({
    id,
    expectedWait: 0,
    prefillTime: milliseconds(30),
    running: 0,
    canOrderLoads: true,
    availableSlots: 5,
    holdsAdapter: false,
    isLoading: false,
    ...change(ORDER.indexOf(id)),
  }));
}

test("an adapter that no engine holds is loaded on its first preference", (t) => {
  t.is(rankEngines(USE, engines())[0], ORDER[0]);
});

test("an engine that holds the adapter is preferred to a load elsewhere", (t) => {
  const choice = rankEngines(
    USE,
    engines((rank) => ({ holdsAdapter: rank === 3 })),
  );
  t.is(choice[0], ORDER[3]);
});

test("a load elsewhere is preferred to a holder with a long queue", (t) => {
  const choice = rankEngines(
    USE,
    engines((rank) =>
      rank === 0 ? { holdsAdapter: true, expectedWait: 900 } : {}
    ),
  );
  t.is(choice[0], ORDER[1]);
});

test("a full engine ranks last for a load", (t) => {
  const choice = rankEngines(
    USE,
    engines((rank) => ({ availableSlots: rank === 0 ? 0 : 5 })),
  );
  t.is(choice[0], ORDER[1]);
  t.is(choice.at(-1), ORDER[0]);
});

test("engines without an owner are chosen only if they hold the adapter", (t) => {
  const choice = rankEngines(
    USE,
    engines((rank) => ({ canOrderLoads: false, holdsAdapter: rank === 2 })),
  );
  t.deepEqual(choice, [ORDER[2]]);
});

test("a request for the base model goes to the engine with the shortest wait", (t) => {
  const choice = rankEngines(
    { model: modelId("m"), promptTokens: 600 },
    engines((rank) => ({ expectedWait: rank === 2 ? 1 : 50 })),
  );
  t.is(choice[0], ORDER[2]);
});

test("a long prompt avoids a busy engine sooner than a short one", (t) => {
  const states = engines((rank) => ({
    holdsAdapter: rank < 2,
    running: rank === 0 ? 30 : 5,
    expectedWait: rank === 0 ? 0 : 60,
  }));
  const choose = (promptTokens: number) =>
    rankEngines({ ...USE, promptTokens }, states)[0];
  t.is(choose(600), ORDER[0]);
  t.is(choose(9_000), ORDER[1]);
});

test("an engine that caches the adapter is preferred to a load from the store", (t) => {
  const choice = rankEngines(
    USE,
    engines((rank) => ({
      load: rank === 3
        ? { source: "cache", time: milliseconds(30) }
        : { source: "store", time: milliseconds(288) },
    })),
  );
  t.is(choice[0], ORDER[3]);
});

test("a copy is loaded from a cache before the holder's queue takes longer", (t) => {
  const choose = (expectedWait: number) =>
    rankEngines(
      USE,
      engines((rank) =>
        rank === 0 ? { holdsAdapter: true, expectedWait } : {
          load: rank === 2
            ? { source: "cache", time: milliseconds(30) }
            : { source: "store", time: milliseconds(288) },
        }
      ),
    )[0];
  t.is(choose(20), ORDER[0]);
  t.is(choose(100), ORDER[2]);
});

test("nodes that see the same old states spread their requests over equal holders", (t) => {
  const chosen = new Set<string | undefined>();
  for (let node = 0; node < 20; node += 1) {
    const states = engines((rank) => ({
      holdsAdapter: rank < 2,
      draw: ((node * 7 + rank * 11) % 20) / 20,
    }));
    chosen.add(rankEngines(USE, states)[0]);
  }
  t.deepEqual(chosen, new Set(ORDER.slice(0, 2)));
});
