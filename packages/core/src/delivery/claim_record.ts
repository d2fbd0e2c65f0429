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

/** The log stream that holds the claims of free keys. */
export const CLAIM_STREAM = "execution-claims";

/** A node incarnation's claim to run a free key. */
export interface KeyClaim {
  readonly key: IdempotencyKey;
  /** Names this claim; no two claims share it. */
  readonly nonce: string;
  /** Names the request's body. */
  readonly digest: string;
  readonly node: NodeId;
  readonly incarnation: IncarnationId;
  /** The offset below which no claim of the key lies, where it is stated. */
  readonly epoch?: LogOffset;
}

/** The claims that one append carries. */
export interface ClaimRecord {
  /** Names the record, so that a lost answer is settled by reading back. */
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
 * Gives a record as the text that the log keeps.
 * @param record The record.
 * @returns The text.
 */
export function formatClaimRecord(record: ClaimRecord): string {
  return JSON.stringify({ kind: "claims", ...record });
}

/**
 * Reads a record from the log.
 * @param data The text.
 * @returns The record, or what is wrong with it.
 */
export function parseClaimRecord(data: string): Result<ClaimRecord, string> {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(data));
    return parsed.success ? ok(parsed.data) : err(parsed.error.message);
  } catch {
    return err("The record is not JSON.");
  }
}
