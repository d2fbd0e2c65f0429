import {
  ConfigurationReader,
  type ConfigurationRecord,
  configurationRecordSchema,
  formatConfigurationRecord,
  logOffset,
  restoreSnapshot,
  takeSnapshot,
} from "@foxtailwind/core";
import {
  type Measurement,
  measureProcessorMicroseconds,
  measureRetainedMemory,
} from "./measurement.ts";

const RECORD_COUNTS = [100, 3_600, 36_000];
const ADAPTER_COUNTS = [1_000, 10_000, 71_000];
const ADAPTERS_PER_RECORD = 100;
const BYTES_PER_KIBIBYTE = 1_024;

/**
 * Measures reading configuration records, and taking and restoring snapshots.
 * @returns Costs for each number of records, then for each of adapters.
 */
export function measureConfiguration(): readonly Measurement[] {
  return [
    ...RECORD_COUNTS.map(measureRecords),
    ...ADAPTER_COUNTS.map(measureAdapters),
  ];
}

function measureRecords(count: number): Measurement {
  const reader = new ConfigurationReader();
  const texts = Array.from(
    { length: count },
    (_, index) => recordText(index, [adapterChange(index % 1_000, index)]),
  );
  const time = measureProcessorMicroseconds(() => {
    readAll(reader, texts);
  });
  const bytes = Buffer.byteLength(texts[0] ?? "");
  return {
    subject: "configuration records, one adapter each, of 1000",
    size: `${count} records`,
    figures: [
      { name: "processor time a record", value: time / count, unit: "µs" },
      { name: "a record", value: bytes, unit: "B" },
    ],
  };
}

function measureAdapters(count: number): Measurement {
  const { held: reader, mebibytes } = measureRetainedMemory(() => {
    const filled = new ConfigurationReader();
    readAll(filled, adapterRecords(count));
    return filled;
  });
  let snapshot = takeSnapshot(reader.configuration);
  const taking = measureProcessorMicroseconds(() => {
    snapshot = takeSnapshot(reader.configuration);
  });
  const restoring = measureProcessorMicroseconds(() => {
    restoreSnapshot(snapshot.chunks)._unsafeUnwrap();
  });
  const size = snapshot.chunks.reduce(
    (sum, chunk) => sum + Buffer.byteLength(chunk),
    0,
  );
  return {
    subject: "configuration held",
    size: `${count} adapters`,
    figures: [
      { name: "memory", value: mebibytes, unit: "MiB" },
      { name: "snapshot", value: size / BYTES_PER_KIBIBYTE, unit: "KiB" },
      { name: "taking it", value: taking / 1_000, unit: "ms" },
      { name: "restoring it", value: restoring / 1_000, unit: "ms" },
    ],
  };
}

function adapterRecords(count: number): readonly string[] {
  const records = Math.ceil(count / ADAPTERS_PER_RECORD);
  return Array.from({ length: records }, (_, record) => {
    const first = record * ADAPTERS_PER_RECORD;
    const changes = Array.from(
      { length: Math.min(ADAPTERS_PER_RECORD, count - first) },
      (__, index) => adapterChange(first + index, 1),
    );
    return recordText(record, changes);
  });
}

function adapterChange(adapter: number, version: number): object {
  return {
    kind: "set_adapter",
    adapter: `adapter-${adapter}`,
    model: `model-${adapter % 5}`,
    versions: [`v${version}`],
    current: `v${version}`,
  };
}

function recordText(offset: number, changes: readonly object[]): string {
  const record: ConfigurationRecord = configurationRecordSchema.parse({
    id: `change-${offset}`,
    author: "bench",
    base: offset - 1,
    changes,
  });
  return formatConfigurationRecord(record);
}

function readAll(reader: ConfigurationReader, texts: readonly string[]): void {
  for (const [offset, data] of texts.entries()) {
    const reading = reader.read({ offset: logOffset(offset), data });
    if (reading.kind !== "read" || reading.verdict.kind !== "accepted") {
      throw new Error(`Cannot measure: record ${offset} was not accepted`);
    }
  }
}
