import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import type { Member, ViewRecord } from "../membership/mod.ts";
import type { ViewRegisterState } from "../membership/mod.ts";
import {
  engineId,
  type Failure,
  failureDomainId,
  fencingNumber,
  incarnationId,
  type LogOffset,
  logOffset,
  nodeId,
  regionId,
} from "../shared/mod.ts";
import type { Tenure, TenureRecord } from "./tenure.ts";

/** The name of the log stream that holds views and tenures. */
export const MEMBERSHIP_STREAM = "membership";

/** A record of the whole state, so that log retention may remove older ones. */
export interface SnapshotRecord {
  readonly kind: "snapshot";
  readonly id: string;
  /** The last offset that the state includes. */
  readonly covers: LogOffset;
  readonly views: ViewRegisterState;
  readonly tenures: readonly Tenure[];
}

/** A record of the membership stream. */
export type ClusterRecord = ViewRecord | TenureRecord | SnapshotRecord;

const offset = z.number().int().transform(logOffset);
const node = z.string().min(1).transform(nodeId);
const incarnation = z.string().min(1).transform(incarnationId);
const engine = z.string().min(1).transform(engineId);
const run = z.object({ node, incarnation });
const reason = z.enum(["initial", "takeover", "handover", "keep", "repair"]);

const member: z.ZodType<Member> = z.object({
  node,
  incarnation,
  generation: z.number().int().nonnegative(),
  region: z.string().transform(regionId),
  failureDomain: z.string().transform(failureDomainId),
  weight: z.number().positive(),
  address: z.string(),
});

const tenure: z.ZodType<Tenure> = z.object({
  engine,
  offset,
  reason,
  fencing: z.number().int().transform(fencingNumber),
  controller: run,
  successors: z.array(node),
  wait: z.enum(["none", "lease", "horizon"]),
});

const clusterRecord: z.ZodType<ClusterRecord> = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("view"),
    id: z.string(),
    base: offset,
    members: z.array(member),
  }),
  z.object({
    kind: z.literal("tenure"),
    id: z.string(),
    engine,
    base: offset,
    reason,
    by: run,
    controller: run,
    successors: z.array(node),
  }),
  z.object({
    kind: z.literal("snapshot"),
    id: z.string(),
    covers: offset,
    views: z.object({
      view: z.object({ offset, members: z.array(member) }),
      newest: z.array(member),
    }),
    tenures: z.array(tenure),
  }),
]);

/**
 * Serializes a record for the log.
 * @param record The record.
 * @returns The JSON text.
 */
export function formatClusterRecord(record: ClusterRecord): string {
  return JSON.stringify(record);
}

/**
 * Parses a record.
 * @param text The JSON text.
 * @returns The record, or why it cannot be parsed.
 */
export function parseClusterRecord(
  text: string,
): Result<ClusterRecord, Failure> {
  const parsed = clusterRecord.safeParse(parseJson(text));
  if (parsed.success) return ok(parsed.data);
  return err({
    reason: "corrupt",
    step: "read_log",
    peer: "log",
    message: `Cannot read a record: ${z.prettifyError(parsed.error)}`,
    outcome: "not_run",
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
