import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { Failure, LogOffset } from "../shared/mod.ts";
import { RECORD_FORMAT } from "./change.ts";
import { Configuration } from "./configuration.ts";
import { ConfigurationRules } from "./configuration_rules.ts";
import { changeLine, itemLine, snapshotLineSchema } from "./snapshot_line.ts";
import { StateDigest } from "./state_digest.ts";

/** The log's stream of snapshot chunks. */
export const SNAPSHOT_STREAM = "configuration_snapshots";

/** How large a chunk's lines are at most, in UTF-16 units. */
export const CHUNK_CHARACTERS = 120_000;

const chunkSchema = z.object({
  format: z.literal(RECORD_FORMAT),
  covers: z.number().int().min(-1).transform((value) => value as LogOffset),
  digest: z.string(),
  index: z.number().int().nonnegative(),
  count: z.number().int().positive(),
  lines: z.array(z.string()),
});

type Chunk = z.output<typeof chunkSchema>;

/** A snapshot, ready to be appended or sent. */
export interface Snapshot {
  /** The offset of the last record that it covers. */
  readonly covers: LogOffset;
  readonly digest: string;
  readonly chunks: readonly string[];
}

/**
 * Takes a snapshot: equal configurations give equal texts.
 * @param configuration The configuration.
 * @param rules The decisions.
 * @returns The snapshot in chunks.
 */
export function takeSnapshot(
  configuration: Configuration,
  rules: ConfigurationRules = new ConfigurationRules(),
): Snapshot {
  const covers = rules.snapshotCovers(configuration.offset);
  const { digest } = configuration;
  const parts = chunkLines(snapshotLines(configuration));
  const chunks = parts.map((lines, index): string =>
    JSON.stringify({
      format: RECORD_FORMAT,
      covers,
      digest,
      index,
      count: parts.length,
      lines,
    })
  );
  return { covers, digest, chunks };
}

/**
 * Makes a configuration from a snapshot. It decides about every later record
 * as one that read all records from the first.
 * @param chunks All chunks of one snapshot, in order.
 * @param rules The decisions of the new configuration.
 * @returns The configuration, or why the snapshot cannot be used.
 */
export function restoreSnapshot(
  chunks: readonly string[],
  rules: ConfigurationRules = new ConfigurationRules(),
): Result<Configuration, Failure> {
  const read = readChunks(chunks);
  if (read.isErr()) return err(read.error);
  const [first] = read.value;
  if (first === undefined) return err(unusable("has no chunks"));
  const configuration = new Configuration(rules);
  const digest = new StateDigest();
  for (const text of read.value.flatMap((chunk) => chunk.lines)) {
    digest.toggle(text);
    if (!restoreLine(configuration, text)) {
      return err(unusable(`has a line that cannot be read: ${text}`));
    }
  }
  if (digest.text !== first.digest || configuration.digest !== first.digest) {
    return err(unusable("does not match its digest"));
  }
  if (first.covers > configuration.offset) configuration.skipTo(first.covers);
  return ok(configuration);
}

function snapshotLines(configuration: Configuration): readonly string[] {
  const origins = [...configuration.origins];
  origins.sort(([left, leftOrigin], [right, rightOrigin]) =>
    leftOrigin.offset - rightOrigin.offset || (left < right ? -1 : 1)
  );
  const items = origins.map(([item, origin]) =>
    itemLine(configuration.changeThatMakes(item), origin)
  );
  return [...items, ...Array.from(configuration.recent.all, changeLine)];
}

function chunkLines(lines: readonly string[]): readonly (readonly string[])[] {
  const chunks: string[][] = [[]];
  let characters = 0;
  for (const line of lines) {
    if (characters + line.length > CHUNK_CHARACTERS && characters > 0) {
      chunks.push([]);
      characters = 0;
    }
    chunks.at(-1)?.push(line);
    characters += line.length;
  }
  return chunks;
}

function readChunks(
  texts: readonly string[],
): Result<readonly Chunk[], Failure> {
  const chunks: Chunk[] = [];
  for (const [index, text] of texts.entries()) {
    const chunk = chunkSchema.safeParse(parseJson(text));
    if (!chunk.success) return err(unusable(`has a broken chunk ${index}`));
    const { covers, digest, count } = chunk.data;
    const first = chunks[0] ?? chunk.data;
    const fits = chunk.data.index === index && count === texts.length &&
      covers === first.covers && digest === first.digest;
    if (!fits) return err(unusable(`has a foreign chunk at ${index}`));
    chunks.push(chunk.data);
  }
  return ok(chunks);
}

function restoreLine(configuration: Configuration, text: string): boolean {
  const line = snapshotLineSchema.safeParse(parseJson(text));
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

function unusable(detail: string): Failure {
  return {
    reason: "corrupt",
    step: "read_log",
    peer: "log",
    message: `The snapshot ${detail}.`,
    outcome: "not_run",
  };
}
