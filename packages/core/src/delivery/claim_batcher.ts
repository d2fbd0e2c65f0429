import {
  type Duration,
  type Failure,
  type IdempotencyKey,
  type Instant,
  later,
  type LogOffset,
} from "../shared/mod.ts";
import { ClaimIndex } from "./claim_index.ts";
import type { ClaimRecord, KeyClaim } from "./claim_record.ts";
import type { DeliveryRules } from "./delivery_rules.ts";

/** How a claim was settled: with the winning claim, or with a refusal. */
export type ClaimVerdict =
  | { readonly kind: "winner"; readonly claim: KeyClaim }
  | { readonly kind: "refused"; readonly failure: Failure };

/** A settled claim. */
export interface SettledClaim {
  readonly nonce: string;
  readonly verdict: ClaimVerdict;
}

/** Options for batching claims. */
export interface ClaimBatcherOptions {
  /** The minimum time between two appends. */
  readonly batchInterval: Duration;
  /** How long a claim may stay unsettled before it is refused. */
  readonly settleTimeout: Duration;
  readonly maximumBatch: number;
  readonly maximumKeys: number;
  /** How long claims are kept; must be shorter than the log's retention. */
  readonly window: Duration;
  readonly rules: DeliveryRules;
  /** Generates the id of the next record. */
  readonly recordId: () => string;
}

interface PendingClaim {
  readonly claim: KeyClaim;
  readonly deadline: Instant;
  record: string | undefined;
  appended: boolean;
}

/**
 * Batches the claims of a failure domain's nodes into few appends, and settles
 * each claim once it and all records before it were read back.
 */
export class ClaimBatcher {
  readonly index: ClaimIndex;
  readonly #options: ClaimBatcherOptions;
  readonly #pending = new Map<string, PendingClaim>();
  #settled: SettledClaim[] = [];
  #nextBatchAt: Instant | undefined;
  #isAppending = false;

  /** @param options The options. */
  constructor(options: ClaimBatcherOptions) {
    this.#options = options;
    this.index = new ClaimIndex(options.window);
  }

  /** The number of unsettled claims. */
  get pendingCount(): number {
    return this.#pending.size;
  }

  /**
   * Adds a claim to the next batch, or refuses it if there are too many.
   * @param now The present time.
   * @param claim The claim.
   */
  submit(now: Instant, claim: KeyClaim): void {
    if (this.index.size + this.#pending.size >= this.#options.maximumKeys) {
      this.#refuse(claim, {
        reason: "overloaded",
        message: "Too many keys are claimed at present.",
        outcome: "not_run",
      });
      return;
    }
    this.#pending.set(claim.nonce, {
      claim,
      deadline: later(now, this.#options.settleTimeout),
      record: undefined,
      appended: false,
    });
  }

  /**
   * Takes the next record to append, if one is due.
   * @param now The present time.
   * @returns The record; {@link appendEnded} must be called for it.
   */
  takeBatch(now: Instant): ClaimRecord | undefined {
    if (this.#isAppending || now < (this.#nextBatchAt ?? now)) return undefined;
    const unsent = [...this.#pending.values()]
      .filter((pending) => pending.record === undefined)
      .slice(0, this.#options.maximumBatch);
    if (unsent.length === 0) return undefined;
    const id = this.#options.recordId();
    for (const pending of unsent) pending.record = id;
    this.#isAppending = true;
    this.#nextBatchAt = later(now, this.#options.batchInterval);
    return { id, claims: unsent.map((pending) => pending.claim) };
  }

  /**
   * Handles the end of an append. Only reading the record back proves that the
   * append took effect.
   * @param id The record's id.
   * @param failure Why the append failed, if it did.
   */
  appendEnded(id: string, failure: Failure | undefined): void {
    this.#isAppending = false;
    for (const pending of this.#pending.values()) {
      if (pending.record !== id) continue;
      pending.appended = failure === undefined;
      if (failure?.outcome !== "not_run") continue;
      this.#settle(pending, refusedClaim(pending.claim.key, failure));
    }
  }

  /**
   * Takes the claims that were settled or have timed out.
   * @param now The present time.
   * @returns The claims, each returned once.
   */
  takeSettled(now: Instant): readonly SettledClaim[] {
    for (const pending of this.#pending.values()) this.#trySettle(now, pending);
    this.index.prune(now);
    const settled = this.#settled;
    this.#settled = [];
    return settled;
  }

  /**
   * Applies a record that was read from the log.
   * @param now The present time.
   * @param offset The record's offset.
   * @param record The record, or nothing if it cannot be parsed.
   */
  apply(
    now: Instant,
    offset: LogOffset,
    record: ClaimRecord | undefined,
  ): void {
    this.index.apply(now, offset, record);
  }

  #trySettle(now: Instant, pending: PendingClaim): void {
    const { claim, record, appended } = pending;
    const readBack = record !== undefined && this.index.hasRead(record);
    const winner = this.index.winner(claim.key);
    const mayRun = this.#options.rules.mayRunClaimed({
      appended,
      readBack,
      isLowest: winner?.nonce === claim.nonce,
    });
    if (readBack || mayRun) {
      this.#settle(pending, this.#verdictFor(claim, mayRun ? claim : winner));
      return;
    }
    if (now < pending.deadline) return;
    this.#settle(pending, refusedClaim(claim.key, TIMED_OUT));
  }

  #verdictFor(claim: KeyClaim, winner: KeyClaim | undefined): ClaimVerdict {
    if (winner === undefined) return refusedClaim(claim.key, TIMED_OUT);
    const coverage = claim.epoch === undefined
      ? "covered"
      : this.index.checkEpoch(claim.epoch);
    if (this.#options.rules.acceptsEpoch(coverage)) {
      return { kind: "winner", claim: winner };
    }
    return refusedClaim(
      claim.key,
      coverage === "ahead" ? EPOCH_AHEAD : EPOCH_TOO_OLD,
    );
  }

  #refuse(claim: KeyClaim, cause: FailureCause): void {
    const { nonce, key } = claim;
    this.#settled.push({ nonce, verdict: refusedClaim(key, cause) });
  }

  #settle(pending: PendingClaim, verdict: ClaimVerdict): void {
    const { nonce } = pending.claim;
    this.#pending.delete(nonce);
    this.#settled.push({ nonce, verdict });
  }
}

type FailureCause = Pick<Failure, "reason" | "message" | "outcome">;

const TIMED_OUT: FailureCause = {
  reason: "unavailable",
  message: "The log did not settle the key's claim in time.",
  outcome: "not_run",
};

const EPOCH_TOO_OLD: FailureCause = {
  reason: "expired",
  message: "The key is older than the claims that are kept; it is not run.",
  outcome: "unknown",
};

const EPOCH_AHEAD: FailureCause = {
  reason: "invalid",
  message: "The key's epoch lies ahead of the log.",
  outcome: "not_run",
};

function refusedClaim(key: IdempotencyKey, cause: FailureCause): ClaimVerdict {
  return {
    kind: "refused",
    failure: {
      ...cause,
      step: "claim_key",
      peer: "log",
      message: `Key "${key}": ${cause.message}`,
    },
  };
}
