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

/** What a run of a key came to. */
export type RunResult = Result<Uint8Array, Failure>;

/** What a request with a key is to do. */
export type Admission =
  | { readonly kind: "run" }
  | { readonly kind: "join" }
  | { readonly kind: "replay"; readonly result: RunResult };

/** The limits of a ledger. */
export interface KeyLedgerLimits {
  readonly maximumKeys: number;
  /** Answers beyond this are forgotten, the oldest first; keys are not. */
  readonly maximumAnswerBytes: number;
  /** How long an outcome is kept after the key was last due. */
  readonly retention: Duration;
  /** Named in failures. */
  readonly peer: string;
}

/** One request with a key. */
export interface KeyUse {
  readonly key: IdempotencyKey;
  /** Names the request's body: one key stands for one body. */
  readonly digest: string;
  /** Until when the outcome must be kept, where the key states it. */
  readonly keepUntil?: Instant;
}

const PRUNES_PER_RETENTION = 10;

interface Entry {
  readonly digest: string;
  keepUntil: Instant;
  runs: number;
  result: RunResult | undefined;
}

/** Remembers which keys one node incarnation runs and has run. */
export class KeyLedger {
  readonly #limits: KeyLedgerLimits;
  readonly #rules: DeliveryRules;
  readonly #entries = new Map<IdempotencyKey, Entry>();
  readonly #answered = new Set<Entry>();
  #answerBytes = 0;
  #pruneAt: Instant | undefined;

  /**
   * @param limits The limits.
   * @param rules Which outcomes free a key.
   */
  constructor(limits: KeyLedgerLimits, rules: DeliveryRules) {
    this.#limits = limits;
    this.#rules = rules;
  }

  /** How many keys are remembered. */
  get size(): number {
    return this.#entries.size;
  }

  /** How many bytes of answers are kept. */
  get answerBytes(): number {
    return this.#answerBytes;
  }

  /**
   * Looks a key up without running it.
   * @param use The request.
   * @returns What to do, nothing where the key is new, or why it is refused.
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
   * Admits a request: the first of its key is to run, others wait or replay.
   * @param now The present time.
   * @param use The request.
   * @returns What to do, or why the request is refused.
   */
  admit(now: Instant, use: KeyUse): Result<Admission, Failure> {
    const found = this.find(use);
    if (found.isErr()) return err(found.error);
    if (found.value !== undefined) return ok(found.value);
    this.#pruneNowAndThen(now);
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
   * Takes note that a key's run starts.
   * @param key The key, admitted before.
   */
  started(key: IdempotencyKey): void {
    const entry = this.#entries.get(key);
    assertInvariant(
      entry !== undefined && entry.runs === 0,
      "at_most_once",
      () => `Key ${key} has ${entry?.runs ?? "no"} runs already.`,
    );
    entry.runs += 1;
  }

  /**
   * Records how a request with a key ended. A key that did not run here, or is
   * proven not to have run, is free again.
   * @param now The present time.
   * @param key The key.
   * @param result The outcome.
   */
  finished(now: Instant, key: IdempotencyKey, result: RunResult): void {
    const entry = this.#entries.get(key);
    if (entry === undefined) return;
    const outcome = result.isErr() ? result.error.outcome : "ran";
    if (entry.runs === 0 || this.#rules.freesKey(outcome)) {
      this.#entries.delete(key);
      return;
    }
    const kept = later(now, this.#limits.retention);
    if (kept > entry.keepUntil) entry.keepUntil = kept;
    entry.result = result;
    if (result.isErr()) return;
    this.#answered.add(entry);
    this.#answerBytes += result.value.length;
    this.#forgetAnswers();
  }

  /**
   * Forgets keys whose time is over; never one that runs.
   * @param now The present time.
   */
  prune(now: Instant): void {
    for (const [key, entry] of this.#entries) {
      if (entry.result === undefined || entry.keepUntil > now) continue;
      this.#entries.delete(key);
      this.#forgetAnswer(entry);
    }
  }

  #pruneNowAndThen(now: Instant): void {
    const isFull = this.#entries.size >= this.#limits.maximumKeys;
    if (!isFull && now < (this.#pruneAt ?? now)) return;
    this.prune(now);
    const wait = milliseconds(this.#limits.retention / PRUNES_PER_RETENTION);
    this.#pruneAt = later(now, wait);
  }

  #keepUntil(now: Instant, use: KeyUse): Instant {
    const least = later(now, this.#limits.retention);
    const stated = use.keepUntil ?? least;
    return stated > least ? stated : least;
  }

  #forgetAnswers(): void {
    for (const entry of this.#answered) {
      if (this.#answerBytes <= this.#limits.maximumAnswerBytes) return;
      this.#forgetAnswer(entry);
      entry.result = err(this.#failure("expired", {
        message: "The request ran; its answer is not kept.",
        outcome: "ran",
      }));
    }
  }

  #forgetAnswer(entry: Entry): void {
    if (!this.#answered.delete(entry)) return;
    if (entry.result?.isOk() === true) {
      this.#answerBytes -= entry.result.value.length;
    }
  }

  #failure(
    reason: Failure["reason"],
    rest: Pick<Failure, "message" | "outcome">,
  ): Failure {
    return { reason, step: "claim_key", peer: this.#limits.peer, ...rest };
  }
}
