import { err, ok, type Result } from "neverthrow";
import {
  type Failure,
  type IdempotencyKey,
  idempotencyKey,
  type IncarnationId,
  incarnationId,
  type Instant,
  instant,
  type LogOffset,
  logOffset,
  type NodeId,
  nodeId,
} from "../shared/mod.ts";

/** The only node incarnation that may run a key, and until when. */
export interface KeyScope {
  readonly node: NodeId;
  readonly incarnation: IncarnationId;
  /** On that incarnation's steady clock; has no meaning elsewhere. */
  readonly expiresAt: Instant;
}

/** A key bound to one node incarnation. */
export interface BoundKey {
  readonly kind: "bound";
  readonly scope: KeyScope;
  readonly key: IdempotencyKey;
}

/** A key that any node may claim in the log. */
export interface FreeKey {
  readonly kind: "free";
  readonly key: IdempotencyKey;
  /**
   * No claim of the key has an offset below this one. Absent on keys without
   * a prefix.
   */
  readonly epoch?: LogOffset;
}

/** The key of a request that must not run twice. */
export type ExecutionKey = BoundKey | FreeKey;

const SEPARATOR = "~";
const BOUND_PREFIX = "bound";
const FREE_PREFIX = "free";
const MINIMUM_BOUND_PARTS = 5;
const MINIMUM_FREE_PARTS = 3;
const MAXIMUM_KEY_LENGTH = 512;

/**
 * Formats a scope as the prefix that callers put before their own key.
 * @param scope The scope.
 * @returns The prefix, including the trailing separator.
 */
export function scopePrefix(scope: KeyScope): string {
  const parts = [
    BOUND_PREFIX,
    scope.node,
    scope.incarnation,
    String(Math.floor(scope.expiresAt)),
    "",
  ];
  return parts.join(SEPARATOR);
}

/**
 * Formats the prefix of free keys that are first used after a claim offset.
 * @param epoch The tail of the claims stream, or an offset below it.
 * @returns The prefix, including the trailing separator.
 */
export function epochPrefix(epoch: LogOffset): string {
  return [FREE_PREFIX, String(epoch), ""].join(SEPARATOR);
}

/**
 * Parses an idempotency key. The whole text identifies the key, so that the
 * same caller key under two scopes counts as two keys.
 * @param text The value of the header.
 * @returns The key, or the failure of an invalid key.
 */
export function parseExecutionKey(text: string): Result<ExecutionKey, Failure> {
  if (text.length === 0 || text.length > MAXIMUM_KEY_LENGTH) {
    return err(invalidKey(`its length is not 1 to ${MAXIMUM_KEY_LENGTH}`));
  }
  const key = idempotencyKey(text);
  const parts = text.split(SEPARATOR);
  if (parts[0] === BOUND_PREFIX && parts.length >= MINIMUM_BOUND_PARTS) {
    return parseScope(parts).map((scope) => ({ kind: "bound", scope, key }));
  }
  if (parts[0] === FREE_PREFIX && parts.length >= MINIMUM_FREE_PARTS) {
    return parseInteger(parts[1] ?? "").map((epoch) => ({
      kind: "free",
      key,
      epoch: logOffset(epoch),
    }));
  }
  return ok({ kind: "free", key });
}

function parseScope(parts: readonly string[]): Result<KeyScope, Failure> {
  const [, node = "", incarnation = "", expiry = ""] = parts;
  if (node === "" || incarnation === "") {
    return err(invalidKey("its scope names no node"));
  }
  return parseInteger(expiry).map((expiresAt) => ({
    node: nodeId(node),
    incarnation: incarnationId(incarnation),
    expiresAt: instant(expiresAt),
  }));
}

function parseInteger(text: string): Result<number, Failure> {
  const value = Number(text);
  const isInteger = /^\d+$/.test(text) && Number.isSafeInteger(value);
  return isInteger ? ok(value) : err(invalidKey(`"${text}" is not a number`));
}

function invalidKey(problem: string): Failure {
  return {
    reason: "invalid",
    step: "claim_key",
    peer: "caller",
    message: `Idempotency key cannot be used: ${problem}.`,
    outcome: "not_run",
  };
}
