import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import type { Failure, LogOffset } from "../shared/mod.ts";
import { type ConfigurationChange, RECORD_FORMAT } from "./change.ts";
import { Configuration } from "./configuration.ts";
import { ConfigurationRules } from "./configuration_rules.ts";
import { changeLine, itemLine, snapshotLineSchema } from "./snapshot_line.ts";
import type { ItemOrigin } from "./configuration_state.ts";
import type { RecentChange } from "./recent_changes.ts";
import { StateDigest } from "./state_digest.ts";

/** The log stream that holds snapshot chunks. */
export const SNAPSHOT_STREAM = "configuration_snapshots";

/** The maximum size of a chunk's lines, in UTF-16 code units. */
export const CHUNK_CHARACTERS = 120_000;

const offsetSchema = z.number().int().min(-1).transform((value) =>
  value as LogOffset
);

const chunkSchema = z.object({
  format: z.literal(RECORD_FORMAT),
  covers: offsetSchema,
  digest: z.string(),
  index: z.number().int().nonnegative(),
  last: z.boolean(),
  lines: z.array(z.unknown()),
});

type Chunk = z.output<typeof chunkSchema>;

/** A copy of a configuration at one offset, unaffected by later changes. */
export interface SnapshotCopy {
  /** The offset of the last record covered. */
  readonly covers: LogOffset;
  readonly digest: string;
  readonly items: readonly (readonly [ConfigurationChange, ItemOrigin])[];
  readonly recent: readonly RecentChange[];
}

/** A serialized snapshot, ready to be appended or sent. */
export interface Snapshot {
  readonly covers: LogOffset;
  readonly digest: string;
  readonly chunks: readonly string[];
}

/**
 * Copies the content of a snapshot. Only references are copied, so that the
 * slow work of {@link snapshotChunks} can be done a chunk at a time.
 * @param configuration The configuration.
 * @param rules The decision rules.
 * @returns The copy.
 */
export function copyForSnapshot(
  configuration: Configuration,
  rules: ConfigurationRules = new ConfigurationRules(),
): SnapshotCopy {
  const origins = [...configuration.origins];
  origins.sort(([left, leftOrigin], [right, rightOrigin]) =>
    leftOrigin.offset - rightOrigin.offset || (left < right ? -1 : 1)
  );
  return {
    covers: rules.snapshotCovers(configuration.offset),
    digest: configuration.digest,
    items: origins.map(([item, origin]) => [
      configuration.stateAsChange(item),
      origin,
    ]),
    recent: [...configuration.recent.all],
  };
}

/**
 * Serializes a snapshot chunk by chunk. Equal copies produce equal chunks.
 * @param copy The copy.
 * @returns The chunks, in order.
 */
export function* snapshotChunks(copy: SnapshotCopy): Generator<string> {
  const { covers, digest } = copy;
  let lines: string[] = [];
  let characters = 0;
  let index = 0;
  for (const line of snapshotLines(copy)) {
    if (characters + line.length > CHUNK_CHARACTERS && characters > 0) {
      yield formatChunk({ covers, digest, index, last: false }, lines);
      index += 1;
      lines = [];
      characters = 0;
    }
    lines.push(line);
    characters += line.length;
  }
  yield formatChunk({ covers, digest, index, last: true }, lines);
}

/**
 * Serializes a complete snapshot at once.
 * @param configuration The configuration.
 * @param rules The decision rules.
 * @returns The snapshot.
 */
export function takeSnapshot(
  configuration: Configuration,
  rules: ConfigurationRules = new ConfigurationRules(),
): Snapshot {
  const copy = copyForSnapshot(configuration, rules);
  const { covers, digest } = copy;
  return { covers, digest, chunks: [...snapshotChunks(copy)] };
}

/**
 * Restores a configuration from a snapshot, one chunk at a time. The restored
 * configuration decides about later records exactly as one that read all
 * records from the first.
 */
export class SnapshotRestorer {
  readonly #configuration: Configuration;
  readonly #digest = new StateDigest();
  #previous: Chunk | undefined;

  /** @param rules The decision rules of the new configuration. */
  constructor(rules: ConfigurationRules = new ConfigurationRules()) {
    this.#configuration = new Configuration(rules);
  }

  /** Whether the last chunk was added. */
  get isComplete(): boolean {
    return this.#previous?.last ?? false;
  }

  /**
   * Adds the next chunk.
   * @param text The chunk.
   * @returns An error if the chunk cannot be used.
   */
  push(text: string): Result<undefined, Failure> {
    const chunk = chunkSchema.safeParse(parseJson(text));
    if (!chunk.success) return err(unusableSnapshot("has a broken chunk"));
    if (!this.#isNextChunk(chunk.data)) {
      return err(
        unusableSnapshot(
          `has a foreign chunk at ${chunk.data.index}`,
        ),
      );
    }
    this.#previous = chunk.data;
    for (const line of chunk.data.lines) {
      this.#digest.toggle(JSON.stringify(line));
      if (!restoreLine(this.#configuration, line)) {
        return err(unusableSnapshot("has a line that cannot be read"));
      }
    }
    return ok(undefined);
  }

  /**
   * Returns the configuration once all chunks are added.
   * @returns The configuration, or an error if the snapshot cannot be used.
   */
  finish(): Result<Configuration, Failure> {
    const last = this.#previous;
    if (!last?.last) return err(unusableSnapshot("is not whole"));
    const configuration = this.#configuration;
    const matches = this.#digest.text === last.digest &&
      configuration.digest === last.digest;
    if (!matches) return err(unusableSnapshot("does not match its digest"));
    if (last.covers > configuration.offset) configuration.skipTo(last.covers);
    return ok(configuration);
  }

  #isNextChunk(chunk: Chunk): boolean {
    const previous = this.#previous;
    if (previous === undefined) return chunk.index === 0;
    return !previous.last && chunk.index === previous.index + 1 &&
      chunk.covers === previous.covers && chunk.digest === previous.digest;
  }
}

/**
 * Restores a configuration from a complete snapshot.
 * @param chunks All chunks of one snapshot, in order.
 * @param rules The decision rules of the new configuration.
 * @returns The configuration, or an error if the snapshot cannot be used.
 */
export function restoreSnapshot(
  chunks: readonly string[],
  rules: ConfigurationRules = new ConfigurationRules(),
): Result<Configuration, Failure> {
  const restorer = new SnapshotRestorer(rules);
  for (const chunk of chunks) {
    const pushed = restorer.push(chunk);
    if (pushed.isErr()) return err(pushed.error);
  }
  return restorer.finish();
}

function* snapshotLines(copy: SnapshotCopy): Generator<string> {
  for (const [change, origin] of copy.items) yield itemLine(change, origin);
  for (const recent of copy.recent) yield changeLine(recent);
}

/** The lines are JSON already and are inserted without escaping them again. */
function formatChunk(
  header: Omit<Chunk, "format" | "lines">,
  lines: readonly string[],
): string {
  const { covers, digest, index, last } = header;
  const serializedHeader = JSON.stringify({
    format: RECORD_FORMAT,
    covers,
    digest,
    index,
    last,
  });
  return `${serializedHeader.slice(0, -1)},"lines":[${lines.join(",")}]}`;
}

function restoreLine(configuration: Configuration, raw: unknown): boolean {
  const line = snapshotLineSchema.safeParse(raw);
  if (!line.success) return false;
  switch (line.data.line) {
    case "item":
      if (line.data.change === undefined) return false;
      configuration.restoreItem(line.data.change, line.data.origin);
      return true;
    case "change":
      configuration.restoreChange(line.data.recent);
      return true;
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function unusableSnapshot(detail: string): Failure {
  return {
    reason: "corrupt",
    step: "read_log",
    peer: "log",
    message: `The snapshot ${detail}.`,
    outcome: "not_run",
  };
}
