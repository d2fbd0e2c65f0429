import {
  adapterId,
  adapterKey,
  adapterVersion,
  classId,
  DemandTracker,
  EngineController,
  type EngineDecision,
  engineId,
  instant,
  LoadPermitIssuer,
  milliseconds,
  type QueuedRequest,
  requestId,
  ResidenceIndex,
  tenantId,
} from "@foxtailwind/core";
import test from "ava";

const NOTES = { adapter: adapterId("notes"), version: adapterVersion("v1") };
const OTHER = { adapter: adapterId("other"), version: adapterVersion("v1") };

function make(adapterSlots: number, batchCapacity: number): EngineController {
  return new EngineController({
    engine: engineId("engine-1"),
    capacity: { adapterSlots, batchCapacity },
    demand: new DemandTracker(),
    index: new ResidenceIndex(),
    loads: new LoadPermitIssuer({ loadsPerSecond: 5, concurrentLoads: 2 }),
  });
}

function queued(
  id: string,
  { adapter = NOTES, target = 1_000, tenant = "tenant", tokens = 10 } = {},
): QueuedRequest {
  return {
    request: requestId(id),
    adapter,
    class: classId(`class-${target}`),
    tenant: tenantId(tenant),
    firstTokenTarget: milliseconds(target),
    waitedBefore: milliseconds(0),
    promptTokens: 10,
    maximumTokens: tokens,
  };
}

function load(controller: EngineController, adapter = NOTES): void {
  const now = instant(0);
  controller.usePermit(now, adapter);
  controller.decide(now);
  controller.loadEnded(now, { adapter, loaded: true });
}

function dispatched(decisions: readonly EngineDecision[]): readonly string[] {
  return decisions.flatMap((decision) =>
    decision.kind === "dispatch" ? [decision.request] : []
  );
}

test("one load serves all requests that wait for the adapter", (t) => {
  const controller = make(1, 8);
  for (const id of ["a", "b", "c"]) controller.submit(instant(0), queued(id));
  t.is(controller.wishes(instant(0), []).length, 1);
  load(controller);
  t.deepEqual(dispatched(controller.decide(instant(5))), ["a", "b", "c"]);
});

test("the waits for the adapter and for a place are reported separately", (t) => {
  const controller = make(1, 1);
  controller.submit(instant(0), queued("first"));
  controller.submit(instant(0), queued("second"));
  controller.usePermit(instant(100), NOTES);
  controller.loadEnded(instant(400), { adapter: NOTES, loaded: true });
  controller.decide(instant(400));
  controller.requestEnded(instant(900), requestId("first"), 5);
  const [decision] = controller.decide(instant(900));
  t.like(decision, { kind: "dispatch", loadStall: 400, queueWait: 500 });
});

test("the request with the shorter target is dispatched first", (t) => {
  const controller = make(1, 1);
  load(controller);
  controller.submit(instant(0), queued("batch", { target: 60_000 }));
  controller.submit(instant(0), queued("live", { target: 1_000 }));
  t.deepEqual(dispatched(controller.decide(instant(0))), ["live"]);
});

test("an interactive request preempts batch work, which stays pinned", (t) => {
  const controller = make(1, 1);
  load(controller);
  controller.submit(instant(0), queued("batch", { target: 60_000 }));
  controller.decide(instant(0));
  controller.submit(instant(10), queued("live"));
  const kinds = controller.decide(instant(10)).map(({ kind }) => kind);
  t.deepEqual(kinds, ["preempt", "dispatch"]);
  controller.requestEnded(instant(20), requestId("live"), 5);
  controller.submit(instant(20), queued("next", { adapter: OTHER }));
  t.false(controller.usePermit(instant(20), OTHER));
  t.deepEqual(dispatched(controller.decide(instant(20))), ["batch"]);
});

test("a tenant does not starve another one in the same class", (t) => {
  const controller = make(1, 1);
  load(controller);
  for (let index = 0; index < 20; index += 1) {
    controller.submit(instant(0), queued(`many-${index}`, { tenant: "many" }));
  }
  controller.submit(instant(0), queued("few-0", { tenant: "few" }));
  const order: string[] = [];
  for (let turn = 0; turn < 3; turn += 1) {
    const [request = ""] = dispatched(controller.decide(instant(0)));
    order.push(request);
    controller.requestEnded(instant(0), requestId(request), 0);
  }
  t.true(order.includes("few-0"), order.join(" "));
});

test("an overdue request that delays others is refused and not run", (t) => {
  const controller = make(1, 1);
  load(controller);
  controller.submit(instant(0), queued("running"));
  controller.decide(instant(0));
  controller.submit(instant(0), queued("waiting"));
  controller.submit(instant(1_500), queued("fresh"));
  t.deepEqual(controller.decide(instant(1_999)), []);
  const decisions = controller.decide(instant(2_000));
  t.deepEqual(decisions.map(({ kind }) => kind), ["refuse"]);
  controller.requestEnded(instant(2_100), requestId("running"), 5);
  t.deepEqual(dispatched(controller.decide(instant(2_100))), ["fresh"]);
});

test("a failed load backs off and does not block other adapters", (t) => {
  const controller = make(2, 4);
  controller.submit(instant(0), queued("a"));
  controller.usePermit(instant(0), NOTES);
  controller.loadEnded(instant(100), { adapter: NOTES, loaded: false });
  controller.submit(instant(100), queued("b", { adapter: OTHER }));
  const keys = controller.wishes(instant(100), []).map(({ key }) => key);
  t.deepEqual(keys, [adapterKey(OTHER)]);
  const later = controller.wishes(instant(5_000), []).map(({ key }) => key);
  t.true(later.includes(adapterKey(NOTES)));
});

test("withdrawn requests include the time that they waited", (t) => {
  const controller = make(1, 1);
  controller.submit(instant(0), queued("a"));
  const [back] = controller.withdrawWaiting(instant(250));
  t.is(back?.waitedBefore, milliseconds(250));
  t.is(controller.waiting, 0);
});
