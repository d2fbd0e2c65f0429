import {
  adapterId,
  adapterVersion,
  attemptNumber,
  type DeliveryOptions,
  DeliveryRules,
  type Failure,
  instant,
  RequestDelivery,
  requestId,
  RetryBudget,
} from "@foxtailwind/core";
import test from "ava";

const REQUEST = requestId("request-1");
const ADAPTER = { adapter: adapterId("a"), version: adapterVersion("v1") };
const TOTALS = {
  finishReason: "stop",
  promptTokens: 1,
  completionTokens: 4,
  cachedPromptTokens: 0,
} as const;

function deliveryOf(options: Partial<DeliveryOptions> = {}): RequestDelivery {
  return new RequestDelivery({
    request: REQUEST,
    adapter: ADAPTER,
    repeatable: true,
    streamed: true,
    maximumAttempts: 3,
    budget: new RetryBudget({ share: 0.1, maximum: 10 }),
    rules: new DeliveryRules(),
    ...options,
  });
}

function frame(attempt: number, sequence: number, request = REQUEST) {
  const tokens = [`${sequence}`, `${sequence + 1}`];
  const named = { request, attempt: attemptNumber(attempt), adapter: ADAPTER };
  return { kind: "frame", frame: { ...named, sequence, tokens } } as const;
}

function failed(attempt: number, failure: Partial<Failure> = {}) {
  return {
    kind: "failed",
    attempt: attemptNumber(attempt),
    failure: {
      reason: "unavailable",
      step: "forward",
      peer: "node-2",
      message: "Lost.",
      outcome: "unknown",
      ...failure,
    },
  } as const;
}

const LATER = instant(10_000);
const NOW = instant(0);

test("a broken stream resumes at the next sequence and ends whole", (t) => {
  const delivery = deliveryOf({ repeatable: false });
  t.snapshot([
    delivery.start(),
    delivery.handle(NOW, frame(1, 0)),
    delivery.handle(NOW, failed(1)),
    delivery.handle(LATER, { kind: "tick" }),
    delivery.handle(LATER, frame(2, 2)),
    delivery.handle(LATER, {
      kind: "completed",
      attempt: attemptNumber(2),
      totals: TOTALS,
    }),
  ]);
});

test("a late frame between two attempts is dropped", (t) => {
  const delivery = deliveryOf();
  delivery.start();
  delivery.handle(NOW, failed(1));
  t.deepEqual(delivery.handle(NOW, frame(1, 0)), []);
  t.is(delivery.droppedFrames.late, 1);
});

test("foreign, repeated and misordered frames are dropped and counted", (t) => {
  const delivery = deliveryOf();
  delivery.start();
  delivery.handle(NOW, frame(1, 0, requestId("request-2")));
  delivery.handle(NOW, frame(1, 0));
  delivery.handle(NOW, frame(1, 0));
  delivery.handle(NOW, frame(1, 6));
  t.deepEqual(delivery.droppedFrames, {
    late: 0,
    foreign: 1,
    repeated: 1,
    misordered: 1,
  });
  t.deepEqual(delivery.handle(LATER, { kind: "tick" }), [
    { kind: "attempt", attempt: attemptNumber(2), fromSequence: 2 },
  ]);
});

test("a timeout of a request that is not repeatable is unknown", (t) => {
  const delivery = deliveryOf({ repeatable: false });
  delivery.start();
  const [end] = delivery.handle(NOW, failed(1, { reason: "timeout" }));
  t.like(end, { kind: "fail", failure: { outcome: "unknown" } });
});

test("an attempt that is proven not run is retried", (t) => {
  const delivery = deliveryOf({ repeatable: false });
  delivery.start();
  t.deepEqual(delivery.handle(NOW, failed(1, { outcome: "not_run" })), []);
  const [next] = delivery.handle(LATER, { kind: "tick" });
  t.like(next, { kind: "attempt", fromSequence: 0 });
});

test("a stream that cannot be resumed fails", (t) => {
  const delivery = deliveryOf();
  delivery.start();
  delivery.handle(NOW, frame(1, 0));
  delivery.handle(NOW, failed(1));
  delivery.handle(LATER, { kind: "tick" });
  const refused = { reason: "not_found", outcome: "not_run" } as const;
  const [end] = delivery.handle(LATER, failed(2, refused));
  t.like(end, { kind: "fail", failure: { outcome: "unknown" } });
});

test("a buffered answer restarts without tokens for the caller", (t) => {
  const delivery = deliveryOf({ streamed: false });
  delivery.start();
  delivery.handle(NOW, frame(1, 0));
  delivery.handle(NOW, failed(1));
  delivery.handle(LATER, { kind: "tick" });
  const refused = { reason: "not_found", outcome: "not_run" } as const;
  t.deepEqual(delivery.handle(LATER, failed(2, refused)), []);
  const [again] = delivery.handle(instant(20_000), { kind: "tick" });
  t.like(again, { kind: "attempt", fromSequence: 0 });
});

test("an empty retry budget fails the request at once", (t) => {
  const budget = new RetryBudget({ share: 0, maximum: 0 });
  const delivery = deliveryOf({ budget });
  delivery.start();
  t.like(delivery.handle(NOW, failed(1))[0], { kind: "fail" });
});

test("tokens of another adapter are never sent to the caller", (t) => {
  const delivery = deliveryOf();
  delivery.start();
  const wrong = frame(1, 0);
  const adapter = { ...ADAPTER, version: adapterVersion("v2") };
  const actions = delivery.handle(NOW, {
    ...wrong,
    frame: { ...wrong.frame, adapter },
  });
  t.deepEqual(actions.map((action) => action.kind), ["cancel", "fail"]);
});

test("a request whose caller leaves is cancelled and fails at once", (t) => {
  const delivery = deliveryOf();
  delivery.start();
  const actions = delivery.handle(NOW, { kind: "caller_left" });
  t.like(actions[0], { kind: "cancel", atEngine: true });
  t.like(actions[1], { kind: "fail", failure: { outcome: "unknown" } });
});

// A request that crashes its engine must not be retried on one engine after
// the other.
test("a request that lost three engines is not retried on a fourth", (t) => {
  const delivery = deliveryOf({ maximumAttempts: 5 });
  delivery.start();
  const engines = ["engine-1", "engine-2", "engine-2", "engine-3"];
  const last = engines.map((peer, index) => {
    const actions = delivery.handle(
      NOW,
      failed(index + 1, { step: "generate", peer }),
    );
    delivery.handle(LATER, { kind: "tick" });
    return actions;
  }).at(-1);
  t.true(delivery.ended);
  t.like(last, [{ kind: "fail", failure: { outcome: "unknown" } }]);
});
