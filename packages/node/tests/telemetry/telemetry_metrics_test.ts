import {
  adapterId,
  adapterVersion,
  classId,
  CLOCK_START,
  type Instant,
  instant,
  requestId,
  RequestTelemetry,
  tenantId,
} from "@foxtailwind/core";
import {
  MetricsSink,
  type MetricTags,
  SteadyClock,
  TelemetryMetrics,
} from "@foxtailwind/node";
import test from "ava";

class FixedClock extends SteadyClock {
  override now(): Instant {
    return instant(1_000);
  }
}

class CollectingMetrics extends MetricsSink {
  readonly gauges: (readonly [string, number, MetricTags])[] = [];

  override count(): void {
    // This test checks gauges only.
  }

  override gauge(name: string, value: number, tags: MetricTags): void {
    this.gauges.push([name, value, tags]);
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

test("metrics aggregate a class over its tenants and have no tenant tag", async (t) => {
  const requests = new RequestTelemetry(CLOCK_START);
  const drafting = classId("drafting");
  const tenants = ["acme", "bengal"].map(tenantId);
  requests.configure({ classes: [drafting], tenants });
  for (const [index, tenant] of tenants.entries()) {
    const request = requestId(`r-${index}`);
    requests.record(instant(0), {
      kind: "arrived",
      request,
      class: drafting,
      tenant,
      adapter: { adapter: adapterId("a"), version: adapterVersion("1") },
    });
    const at = instant(10 * (index + 1));
    requests.record(at, { kind: "frame", request, tokens: 1 });
  }
  const metrics = new CollectingMetrics();
  const clock = new FixedClock();
  await new TelemetryMetrics({ requests, clock, metrics }).publish();
  t.deepEqual(metrics.gauges, [
    ["first_token.p50", 10, { class: "drafting" }],
    ["first_token.p95", 20, { class: "drafting" }],
    ["first_token.p99", 20, { class: "drafting" }],
  ]);
});
