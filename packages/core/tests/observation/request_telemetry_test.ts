import test from "ava";
import {
  adapterId,
  adapterVersion,
  attemptNumber,
  classId,
  CLOCK_START,
  engineId,
  type Failure,
  instant,
  MergedHistograms,
  milliseconds,
  nodeId,
  OTHER_TENANT,
  RECENT_PERIOD,
  type RequestEvent,
  requestId,
  RequestTelemetry,
  ROW_LIMIT,
  sumByClass,
  summariseHistogram,
  tenantId,
  TICKS_PER_MILLISECOND,
} from "@foxtailwind/core";

const DRAFTING = classId("drafting");
const ACME = tenantId("acme");
const ADAPTER = {
  adapter: adapterId("adapter-1"),
  version: adapterVersion("1"),
};
const ENGINE = engineId("engine-1");

const FAILURE: Failure = {
  reason: "timeout",
  step: "load_adapter",
  peer: "engine-1",
  message: "The store did not answer.",
  outcome: "not_run",
};

function configuredTelemetry(): RequestTelemetry {
  const telemetry = new RequestTelemetry(CLOCK_START);
  telemetry.configure({ classes: [DRAFTING], tenants: [ACME] });
  return telemetry;
}

function recordAll(
  telemetry: RequestTelemetry,
  events: readonly (readonly [at: number, event: RequestEvent])[],
): void {
  for (const [at, event] of events) telemetry.record(instant(at), event);
}

function arrivalOf(id: string, tenant = ACME): RequestEvent {
  return {
    kind: "arrived",
    request: requestId(id),
    class: DRAFTING,
    tenant,
    adapter: ADAPTER,
  };
}

function lifeCycleOf(id: string, start: number): [number, RequestEvent][] {
  const request = requestId(id);
  return [
    [start, arrivalOf(id)],
    [start + 1, {
      kind: "routed",
      request,
      attempt: attemptNumber(1),
      engine: ENGINE,
      node: nodeId("node-1"),
      reason: "adapter_resident",
    }],
    [start + 2, { kind: "queued", request, engine: ENGINE, ahead: 3 }],
    [start + 3, {
      kind: "load_started",
      request,
      engine: ENGINE,
      adapter: ADAPTER,
      evicted: { ...ADAPTER, version: adapterVersion("0") },
    }],
    [start + 43, { kind: "load_ended", request, engine: ENGINE, loaded: true }],
    [start + 45, {
      kind: "dispatched",
      request,
      engine: ENGINE,
      queueWait: milliseconds(43),
      loadStall: milliseconds(40),
    }],
    [start + 100, { kind: "frame", request, tokens: 1 }],
    [start + 140, { kind: "frame", request, tokens: 2 }],
    [start + 200, { kind: "ended", request, completionTokens: 3 }],
  ];
}

function summaries(telemetry: RequestTelemetry, now: number) {
  const merged = new MergedHistograms();
  merged.add(telemetry.report(instant(now), "recent"));
  return merged.rows.map((row) => ({
    class: row.class,
    tenant: row.tenant,
    ended: row.ended,
    ...Object.fromEntries(
      [...row.histograms].map(([measure, histogram]) => [
        measure,
        summariseHistogram(histogram, TICKS_PER_MILLISECOND),
      ]),
    ),
  }));
}

test("a request's durations are recorded under its class and tenant", (t) => {
  const telemetry = configuredTelemetry();
  recordAll(telemetry, lifeCycleOf("r-1", 1_000));
  t.snapshot(summaries(telemetry, 2_000));
});

test("an explanation lists each step of a request", (t) => {
  const telemetry = configuredTelemetry();
  recordAll(telemetry, lifeCycleOf("r-1", 1_000));
  t.snapshot(telemetry.explain(instant(5_000), requestId("r-1")));
});

test("a refused request is counted separately and explained", (t) => {
  const telemetry = configuredTelemetry();
  const request = requestId("r-1");
  recordAll(telemetry, [
    [0, arrivalOf("r-1")],
    [5, { kind: "ended", request, failure: FAILURE, completionTokens: 0 }],
  ]);
  const row = telemetry.report(instant(10), "since_start").rows
    .find((found) => found.class === DRAFTING);
  t.deepEqual(row?.ended, { answered: 0, failed: 0, refused: 1 });
  t.is(
    telemetry.explain(instant(10), request)?.steps.at(-1)?.sentence,
    "Ended without an answer: timeout at step load adapter, facing " +
      "engine-1 (not run). The store did not answer.",
  );
});

test("a controller records waits of requests from other nodes", (t) => {
  const telemetry = configuredTelemetry();
  const request = requestId("r-1");
  recordAll(telemetry, [
    [0, {
      kind: "queued",
      request,
      engine: ENGINE,
      ahead: 0,
      class: DRAFTING,
      tenant: ACME,
    }],
    [9, {
      kind: "dispatched",
      request,
      engine: ENGINE,
      queueWait: milliseconds(9),
      loadStall: milliseconds(0),
    }],
    [20, { kind: "ended", request, completionTokens: 1 }],
  ]);
  const report = telemetry.report(instant(30), "recent");
  const row = report.rows.find((found) => found.tenant === ACME);
  t.deepEqual(row?.histograms.map(({ measure }) => measure), [
    "queue_wait",
    "load_stall",
  ]);
  t.deepEqual(row?.ended, { answered: 0, failed: 0, refused: 0 });
});

test("only the recent window drops old values", (t) => {
  const telemetry = configuredTelemetry();
  recordAll(telemetry, lifeCycleOf("r-1", 0));
  const later = 2 * RECENT_PERIOD + 1;
  const [row] = summaries(telemetry, later);
  t.false(Object.keys(row ?? {}).includes("first_token"));
  const merged = new MergedHistograms();
  merged.add(telemetry.report(instant(later), "since_start"));
  const sum = sumByClass(merged.rows).get(DRAFTING);
  t.is(sum?.histograms.get("first_token")?.totalCount, 1);
});

test("rows stay within their limit with ten thousand tenants", (t) => {
  const telemetry = new RequestTelemetry(CLOCK_START);
  const tenants = Array.from(
    { length: 10_000 },
    (_, index) => tenantId(`tenant-${index}`),
  );
  const classes = Array.from(
    { length: 40 },
    (_, index) => classId(`class-${index}`),
  );
  telemetry.configure({ classes, tenants });
  for (const [index, tenant] of tenants.entries()) {
    const className = classes[index % classes.length] ?? DRAFTING;
    telemetry.record(instant(index), {
      ...arrivalOf(`r-${index}`, tenant),
      kind: "arrived",
      class: className,
    } as RequestEvent);
  }
  const { rows } = telemetry.report(instant(10_000), "recent");
  t.true(rows.length <= ROW_LIMIT);
});

test("a tenant that loses its row is counted in the other row", (t) => {
  const telemetry = configuredTelemetry();
  recordAll(telemetry, lifeCycleOf("r-1", 0));
  recordAll(telemetry, lifeCycleOf("r-2", 0).slice(0, -1));
  telemetry.configure({ classes: [DRAFTING], tenants: [] });
  recordAll(telemetry, lifeCycleOf("r-2", 0).slice(-1));
  for (const window of ["recent", "since_start"] as const) {
    const { rows } = telemetry.report(instant(300), window);
    t.deepEqual(
      rows.filter((row) => row.class === DRAFTING)
        .map((row) => [row.tenant, row.ended.answered]),
      [[OTHER_TENANT, 2]],
    );
  }
});

test("reports of nodes are merged, and damaged histograms are counted", (t) => {
  const first = configuredTelemetry();
  const second = configuredTelemetry();
  recordAll(first, lifeCycleOf("r-1", 0));
  recordAll(second, lifeCycleOf("r-2", 0));
  second.recordBatch(instant(5), { engine: ENGINE, fill: 0.5 });
  const merged = new MergedHistograms();
  merged.add(first.report(instant(300), "recent"));
  merged.add(second.report(instant(300), "recent"));
  merged.add({ rows: [], engines: [{ engine: ENGINE, encoded: "!" }] });
  const sum = sumByClass(merged.rows).get(DRAFTING);
  t.is(sum?.ended.answered, 2);
  t.is(sum?.histograms.get("between_tokens")?.totalCount, 4);
  t.is(merged.engines.get(ENGINE)?.getValueAtPercentile(50), 50);
  t.is(merged.damaged, 1);
});
