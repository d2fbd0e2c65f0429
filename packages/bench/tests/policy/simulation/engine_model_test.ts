import { EngineModel, EventQueue, stepMilliseconds } from "@foxtailwind/bench";
import { adapterKey, InvariantViolation } from "@foxtailwind/core";
import test from "ava";
import { smallEngine, smallRequest } from "../helpers/small_workload.ts";

const QUIET = {
  firstToken: () => undefined,
  ended: () => undefined,
  prefixStored: () => undefined,
};

test("a step takes longer with more sequences and uncached tokens", (t) => {
  const small = { sequences: 1, prefillTokens: 0, distinctAdapters: 1 };
  const alone = stepMilliseconds(small, 1);
  t.true(stepMilliseconds({ ...small, sequences: 8 }, 1) > alone);
  t.true(stepMilliseconds({ ...small, prefillTokens: 100 }, 1) > alone);
  t.is(stepMilliseconds(small, 2), alone / 2);
});

test("evicting an adapter that serves a request is a violation", (t) => {
  const engine = newEngine();
  const request = smallRequest(0, 7);
  const key = adapterKey(request.adapter);
  engine.loadStarted(key);
  engine.loadEnded(key, true);
  engine.dispatch(request, 0);
  const fault = t.throws(() => {
    engine.evictionStarted(key);
  }, {
    instanceOf: InvariantViolation,
  });
  t.is(fault.invariant, "serving_adapter_never_evicted");
});

test("running a request without its adapter is a violation", (t) => {
  const engine = newEngine();
  const fault = t.throws(() => {
    engine.dispatch(smallRequest(0, 7), 0);
  }, {
    instanceOf: InvariantViolation,
  });
  t.is(fault.invariant, "right_adapter");
});

function newEngine(): EngineModel {
  return new EngineModel(new EventQueue(), {
    profile: smallEngine("e0", 2),
    listener: QUIET,
  });
}
