import {
  adapterId,
  adapterVersion,
  classId,
  CLOCK_START,
  engineId,
  instant,
  MergedHistograms,
  milliseconds,
  type RequestId,
  requestId,
  RequestTelemetry,
  tenantId,
} from "@foxtailwind/core";
import { sampleExponential } from "../load/sample_exponential.ts";
import { SeededRandom } from "@foxtailwind/standins";
import {
  type Measurement,
  measureProcessorMicroseconds,
  measureRetainedMemory,
} from "./measurement.ts";

const ROW_COUNTS = [1, 12, 96];
const TRACE_COUNTS = [1_000, 4_000];
const CLASSES = 3;
const REQUESTS = 5_000;
const FRAMES = 1_000_000;
const NANOSECONDS_PER_MICROSECOND = 1_000;
const BYTES_PER_MEBIBYTE = 1_048_576;
const ADAPTER = { adapter: adapterId("adapter"), version: adapterVersion("1") };

/**
 * Measures the costs of request telemetry.
 * @returns Costs for each number of traces, then for each of histogram rows.
 */
export function measureTelemetry(): readonly Measurement[] {
  return [
    ...TRACE_COUNTS.map(measureTraces),
    ...ROW_COUNTS.map(measureRows),
  ];
}

function measureRows(rows: number): Measurement {
  const { held: telemetry } = measureRetainedMemory(() =>
    telemetryWithRequests(rows)
  );
  const frames = measureFrames(telemetry);
  let report = telemetry.report(instant(0), "since_start");
  const reporting = measureProcessorMicroseconds(() => {
    report = telemetry.report(instant(0), "since_start");
  });
  const text = JSON.stringify(report);
  const merging = measureProcessorMicroseconds(() => {
    new MergedHistograms().add(report);
  });
  const bytes = telemetry.histogramBytes / BYTES_PER_MEBIBYTE;
  return {
    subject: "telemetry histograms",
    size: `${rows} rows`,
    figures: [
      { name: "a frame", value: frames, unit: "ns" },
      { name: "memory, largest estimate", value: bytes, unit: "MiB" },
      { name: "making a report", value: reporting / 1_000, unit: "ms" },
      { name: "a report", value: Buffer.byteLength(text) / 1_024, unit: "KiB" },
      { name: "merging a report", value: merging / 1_000, unit: "ms" },
    ],
  };
}

function measureFrames(telemetry: RequestTelemetry): number {
  const requests = Array.from({ length: 1_000 }, (_, index) => {
    const request = requestId(`open-${index}`);
    recordArrival(telemetry, { request, row: index, at: 0 });
    return { kind: "frame" as const, request, tokens: 1 };
  });
  const time = measureProcessorMicroseconds(() => {
    for (let frame = 0; frame < FRAMES; frame += 1) {
      const event = requests[frame % requests.length];
      const at = instant(Math.floor(frame / requests.length) * 26);
      if (event !== undefined) telemetry.record(at, event);
    }
  });
  return time * NANOSECONDS_PER_MICROSECOND / FRAMES;
}

function measureTraces(count: number): Measurement {
  const { held, mebibytes } = measureRetainedMemory(() => {
    const telemetry = new RequestTelemetry(CLOCK_START);
    const random = new SeededRandom(1);
    for (let index = 0; index < count; index += 1) {
      recordRequest(telemetry, {
        request: requestId(`r-${index}`),
        row: 0,
        random,
      });
    }
    return telemetry;
  });
  const bytes = mebibytes * BYTES_PER_MEBIBYTE / held.traces;
  return {
    subject: "telemetry traces, seven steps each",
    size: `${count} requests`,
    figures: [
      { name: "memory", value: mebibytes, unit: "MiB" },
      { name: "a trace", value: bytes, unit: "B" },
    ],
  };
}

function telemetryWithRequests(rows: number): RequestTelemetry {
  const telemetry = new RequestTelemetry(CLOCK_START);
  const tenants = Math.ceil(rows / CLASSES);
  telemetry.configure({
    classes: Array.from({ length: CLASSES }, (_, index) => className(index)),
    tenants: Array.from({ length: tenants }, (_, index) => tenant(index)),
  });
  const random = new SeededRandom(1);
  for (let index = 0; index < REQUESTS; index += 1) {
    const request = requestId(`r-${index}`);
    recordRequest(telemetry, { request, row: index % rows, random });
  }
  return telemetry;
}

function recordRequest(telemetry: RequestTelemetry, { request, row, random }: {
  readonly request: RequestId;
  readonly row: number;
  readonly random: SeededRandom;
}): void {
  const engine = engineId("engine-1");
  const wait = sampleExponential(random, 300);
  recordArrival(telemetry, { request, row, at: 0 });
  const steps = [
    { kind: "queued", request, engine, ahead: 3 },
    { kind: "load_started", request, engine, adapter: ADAPTER },
    { kind: "load_ended", request, engine, loaded: true },
    {
      kind: "dispatched",
      request,
      engine,
      queueWait: milliseconds(wait),
      loadStall: milliseconds(wait / 2),
    },
    { kind: "frame", request, tokens: 1 },
  ] as const;
  for (const step of steps) telemetry.record(instant(wait + 100), step);
  for (let frame = 1; frame < 10; frame += 1) {
    const at = instant(wait + 100 + frame * 20 + sampleExponential(random, 5));
    telemetry.record(at, { kind: "frame", request, tokens: 1 });
  }
  telemetry.record(instant(wait + 400), {
    kind: "ended",
    request,
    completionTokens: 10,
  });
}

function recordArrival(telemetry: RequestTelemetry, { request, row, at }: {
  readonly request: RequestId;
  readonly row: number;
  readonly at: number;
}): void {
  telemetry.record(instant(at), {
    kind: "arrived",
    request,
    class: className(row % CLASSES),
    tenant: tenant(Math.floor(row / CLASSES)),
    adapter: ADAPTER,
  });
}

function className(index: number): ReturnType<typeof classId> {
  return classId(`class-${index}`);
}

function tenant(index: number): ReturnType<typeof tenantId> {
  return tenantId(`tenant-${String(index).padStart(3, "0")}`);
}
