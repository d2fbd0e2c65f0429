import { err, ok, type Result } from "neverthrow";
import {
  assertInvariant,
  type Duration,
  type Failure,
  type IdempotencyKey,
  type Instant,
  later,
  milliseconds,
} from "../shared/mod.ts";
import type { DeliveryRules } from "./delivery_rules.ts";

/** The answer of a keyed request, or its failure. */
export type RunResult = Result<Uint8Array, Failure>;

/** Whether a request is run, joins a running one or replays its result. */
export type Admission =
  | { readonly kind: "run" }
  | { readonly kind: "join" }
  | { readonly kind: "replay"; readonly result: RunResult };

/** The limits of a key ledger. */
export interface KeyLedgerLimits {
  readonly maximumKeys: number;
  /** The oldest answers above this limit are evicted; their keys are kept. */
  readonly maximumAnswerBytes: number;
  /** How long a key is kept after admission and after its run ended. */
  readonly retention: Duration;
  /** The peer named in failures. */
  readonly peer: string;
}

/** A request with a key. */
export interface KeyUse {
  readonly key: IdempotencyKey;
  /** The digest of the request's body; a key allows only one body. */
  readonly digest: string;
  /** The minimum time to keep the result, if the key specifies one. */
  readonly keepUntil?: Instant;
}

const PRUNES_PER_RETENTION = 10;

interface Entry {
  readonly digest: string;
  keepUntil: Instant;
  runs: number;
  result: RunResult | undefined;
}

/** Tracks the keys that a node incarnation runs or has run. */
export class KeyLedger {
  readonly #limits: KeyLedgerLimits;
  readonly #rules: DeliveryRules;
  readonly #entries = new Map<IdempotencyKey, Entry>();
  readonly #answeredEntries = new Set<Entry>();
  #answerBytes = 0;
  #nextPruneAt: Instant | undefined;

  /**
   * @param limits The limits.
   * @param rules The rules that decide which outcomes free a key.
   */
  constructor(limits: KeyLedgerLimits, rules: DeliveryRules) {
    this.#limits = limits;
    this.#rules = rules;
  }

  /** The number of remembered keys. */
  get size(): number {
    return this.#entries.size;
  }

  /** The total size of the retained answers in bytes. */
  get answerBytes(): number {
    return this.#answerBytes;
  }

  /**
   * Looks up a key without admitting it.
   * @param use The request.
   * @returns The admission, nothing if the key is new, or why it is refused.
   */
  find(use: KeyUse): Result<Admission | undefined, Failure> {
    const entry = this.#entries.get(use.key);
    if (entry === undefined) return ok(undefined);
    if (entry.digest !== use.digest) {
      return err(this.#failure("conflict", {
        message: "The key was used before with another body.",
        outcome: "not_run",
      }));
    }
    if (entry.result === undefined) return ok({ kind: "join" });
    return ok({ kind: "replay", result: entry.result });
  }

  /**
   * Admits a request. The first request of a key runs; later ones wait for its
   * result or replay it.
   * @param now The present time.
   * @param use The request.
   * @returns The admission, or why the request is refused.
   */
  admit(now: Instant, use: KeyUse): Result<Admission, Failure> {
    const found = this.find(use);
    if (found.isErr()) return err(found.error);
    if (found.value !== undefined) return ok(found.value);
    this.#pruneIfDue(now);
    if (this.#entries.size >= this.#limits.maximumKeys) {
      return err(this.#failure("overloaded", {
        message: "Too many keys are remembered here.",
        outcome: "not_run",
      }));
    }
    this.#entries.set(use.key, {
      digest: use.digest,
      keepUntil: this.#keepUntil(now, use),
      runs: 0,
      result: undefined,
    });
    return ok({ kind: "run" });
  }

  /**
   * Records the start of a key's run.
   * @param key The key, which must have been admitted.
   */
  started(key: IdempotencyKey): void {
    const entry = this.#entries.get(key);
    assertInvariant(
      entry !== undefined && entry.runs === 0,
      "at_most_once",
      () =>
        `Key ${key} cannot start with ${entry?.runs ?? "no"} recorded runs.`,
    );
    entry.runs += 1;
  }

  /**
   * Records the end of a request. A key that did not run here, or is proven not
   * to have run, can be used again.
   * @param now The present time.
   * @param key The key.
   * @param result The result.
   */
  finished(now: Instant, key: IdempotencyKey, result: RunResult): void {
    const entry = this.#entries.get(key);
    if (entry === undefined) return;
    const outcome = result.isErr() ? result.error.outcome : "ran";
    if (entry.runs === 0 || this.#rules.freesKey(outcome)) {
      this.#entries.delete(key);
      return;
    }
    const retainedUntil = later(now, this.#limits.retention);
    if (retainedUntil > entry.keepUntil) entry.keepUntil = retainedUntil;
    entry.result = result;
    if (result.isErr()) return;
    this.#answeredEntries.add(entry);
    this.#answerBytes += result.value.length;
    this.#evictOldAnswers();
  }

  /**
   * Removes expired keys, but never a key in progress.
   * @param now The present time.
   */
  prune(now: Instant): void {
    for (const [key, entry] of this.#entries) {
      if (entry.result === undefined || entry.keepUntil > now) continue;
      this.#entries.delete(key);
      this.#removeAnswer(entry);
    }
  }

  #pruneIfDue(now: Instant): void {
    const isFull = this.#entries.size >= this.#limits.maximumKeys;
    if (!isFull && now < (this.#nextPruneAt ?? now)) return;
    this.prune(now);
    const wait = milliseconds(this.#limits.retention / PRUNES_PER_RETENTION);
    this.#nextPruneAt = later(now, wait);
  }

  #keepUntil(now: Instant, use: KeyUse): Instant {
    const minimum = later(now, this.#limits.retention);
    const requested = use.keepUntil ?? minimum;
    return requested > minimum ? requested : minimum;
  }

  #evictOldAnswers(): void {
    for (const entry of this.#answeredEntries) {
      if (this.#answerBytes <= this.#limits.maximumAnswerBytes) return;
      this.#removeAnswer(entry);
      entry.result = err(this.#failure("expired", {
        message: "The request ran; its answer is not kept.",
        outcome: "ran",
      }));
    }
  }

  #removeAnswer(entry: Entry): void {
    if (!this.#answeredEntries.delete(entry)) return;
    if (entry.result?.isOk() === true) {
      this.#answerBytes -= entry.result.value.length;
    }
  }

  #failure(
    reason: Failure["reason"],
    details: Pick<Failure, "message" | "outcome">,
  ): Failure {
    return { reason, step: "claim_key", peer: this.#limits.peer, ...details };
  }
}
