/**
 * Measures the memory, the snapshot and the time to restore of a configuration
 * at two sizes or more. Needs `--expose-gc`.
 * @module
 */
import {
  ConfigurationReader,
  configurationRecordSchema,
  copyForSnapshot,
  formatConfigurationRecord,
  logOffset,
  restoreSnapshot,
  snapshotChunks,
} from "@foxtailwind/core";
import Table from "cli-table3";
import { randomUUID } from "node:crypto";
import process from "node:process";
import { gzipSync } from "node:zlib";

const SIZES = [1_000, 10_000, 71_000];
const KIB = 1_024;

const table = new Table({
  head: [
    "adapters",
    "heap bytes an adapter",
    "heap MiB",
    "packed KiB",
    "chunks",
    "copy ms",
    "write ms a chunk",
    "restore ms",
    "records a second",
  ],
  style: { head: [], border: [] },
});
for (const adapters of SIZES) table.push(measure(adapters));
process.stdout.write(`${table.toString()}\n`);

function measure(adapters: number): (string | number)[] {
  const before = heapAfterCollection();
  const reader = new ConfigurationReader();
  const started = performance.now();
  fill(reader, adapters);
  const perSecond = adapters / (performance.now() - started) * 1_000;
  const bytes = heapAfterCollection() - before;
  const copying = performance.now();
  const copy = copyForSnapshot(reader.configuration);
  const copied = performance.now() - copying;
  const writing = performance.now();
  const chunks = [...snapshotChunks(copy)];
  const written = performance.now() - writing;
  const restoring = performance.now();
  restoreSnapshot(chunks)._unsafeUnwrap();
  const restored = performance.now() - restoring;
  const size = chunks.reduce((sum, chunk) => sum + packed(chunk), 0);
  return [
    adapters,
    Math.round(bytes / adapters),
    (bytes / KIB / KIB).toFixed(1),
    Math.round(size / KIB),
    chunks.length,
    Math.round(copied),
    (written / chunks.length).toFixed(1),
    Math.round(restored),
    Math.round(perSecond),
  ];
}

function packed(chunk: string): number {
  return gzipSync(chunk).toString("base64").length;
}

function fill(reader: ConfigurationReader, adapters: number): void {
  for (let offset = 0; offset < adapters; offset += 1) {
    const record = configurationRecordSchema.parse({
      id: randomUUID(),
      author: "operator",
      base: offset - 1,
      changes: [{
        kind: "set_adapter",
        adapter: `franchise-adapter-${offset}`,
        model: `model-${offset % 5}`,
        versions: ["v1", "v2"],
        current: "v2",
      }],
    });
    const data = formatConfigurationRecord(record);
    reader.read({ offset: logOffset(offset), data });
  }
}

function heapAfterCollection(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
