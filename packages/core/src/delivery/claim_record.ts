import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import {
  type IdempotencyKey,
  idempotencyKey,
  type IncarnationId,
  incarnationId,
  type LogOffset,
  logOffset,
  type NodeId,
  nodeId,
} from "../shared/mod.ts";

/** The log stream that stores claims of free keys. */
export const CLAIM_STREAM = "execution-claims";

/** A node incarnation's claim to run a free key. */
export interface KeyClaim {
  readonly key: IdempotencyKey;
  /** Uniquely identifies this claim. */
  readonly nonce: string;
  /** The digest of the request's body. */
  readonly digest: string;
  readonly node: NodeId;
  readonly incarnation: IncarnationId;
  /** No claim of the key has an offset below this one, where given. */
  readonly epoch?: LogOffset;
}

/** The claims written to the log by one append. */
export interface ClaimRecord {
  /**
   * Identifies the record when it is read back from the log, which tells
   * whether an append with a lost answer took effect.
   */
  readonly id: string;
  readonly claims: readonly KeyClaim[];
}

const claimSchema = z.object({
  key: z.string().transform(idempotencyKey),
  nonce: z.string(),
  digest: z.string(),
  node: z.string().transform(nodeId),
  incarnation: z.string().transform(incarnationId),
  epoch: z.number().int().nonnegative().transform(logOffset).exactOptional(),
});

const recordSchema = z.object({
  kind: z.literal("claims"),
  id: z.string(),
  claims: z.array(claimSchema),
});

/**
 * Serialises a record for the log.
 * @param record The record.
 * @returns The record as JSON.
 */
export function formatClaimRecord(record: ClaimRecord): string {
  return JSON.stringify({ kind: "claims", ...record });
}

/**
 * Parses a record from the log.
 * @param data The JSON text.
 * @returns The record, or why the text is invalid.
 */
export function parseClaimRecord(data: string): Result<ClaimRecord, string> {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(data));
    return parsed.success ? ok(parsed.data) : err(parsed.error.message);
  } catch {
    return err("The record is not valid JSON.");
  }
}
