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

/** How a claim was settled: by the key's winner, or not at all. */
export type ClaimVerdict =
  | { readonly kind: "winner"; readonly claim: KeyClaim }
  | { readonly kind: "refused"; readonly failure: Failure };

/** A claim that was settled. */
export interface SettledClaim {
  readonly nonce: string;
  readonly verdict: ClaimVerdict;
}

/** How claims are gathered. */
export interface ClaimGatheringOptions {
  /** The least time between two appends. */
  readonly batchInterval: Duration;
  /** How long a claim may wait to be settled before it is refused. */
  readonly settleTimeout: Duration;
  readonly maximumBatch: number;
  readonly maximumKeys: number;
  /** How long claims are kept; must be shorter than the log keeps records. */
  readonly window: Duration;
  readonly rules: DeliveryRules;
  /** Makes the id of the next record. */
  readonly recordId: () => string;
}

interface Pending {
  readonly claim: KeyClaim;
  readonly deadline: Instant;
  record: string | undefined;
  appended: boolean;
}

/**
 * Gathers the claims of a failure domain's nodes into few appends, and settles
 * each once it was read back with all that precedes it.
 */
export class ClaimGathering {
  readonly index: ClaimIndex;
  readonly #options: ClaimGatheringOptions;
  readonly #pending = new Map<string, Pending>();
  #settled: SettledClaim[] = [];
  #nextBatchAt: Instant | undefined;
  #appending = false;

  /** @param options How claims are gathered. */
  constructor(options: ClaimGatheringOptions) {
    this.#options = options;
    this.index = new ClaimIndex(options.window);
  }

  /** How many claims are not settled yet. */
  get pending(): number {
    return this.#pending.size;
  }

  /**
   * Takes a claim.
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
   * Takes the next record to append, where it is time for one.
   * @param now The present time.
   * @returns The record; {@link appendEnded} must follow.
   */
  takeBatch(now: Instant): ClaimRecord | undefined {
    if (this.#appending || now < (this.#nextBatchAt ?? now)) return undefined;
    const waiting = [...this.#pending.values()]
      .filter((pending) => pending.record === undefined)
      .slice(0, this.#options.maximumBatch);
    if (waiting.length === 0) return undefined;
    const id = this.#options.recordId();
    for (const pending of waiting) pending.record = id;
    this.#appending = true;
    this.#nextBatchAt = later(now, this.#options.batchInterval);
    return { id, claims: waiting.map((pending) => pending.claim) };
  }

  /**
   * Learns how an append ended. Only reading it back proves that it stands.
   * @param id The record's id.
   * @param failure Why it failed, if it did.
   */
  appendEnded(id: string, failure: Failure | undefined): void {
    this.#appending = false;
    for (const pending of this.#pending.values()) {
      if (pending.record !== id) continue;
      pending.appended = failure === undefined;
      if (failure?.outcome !== "not_run") continue;
      this.#settle(pending, refusedClaim(pending.claim.key, failure));
    }
  }

  /**
   * Takes the claims that a record settled, or whose time is over.
   * @param now The present time.
   * @returns The claims, each once.
   */
  takeSettled(now: Instant): readonly SettledClaim[] {
    for (const pending of this.#pending.values()) this.#judge(now, pending);
    this.index.prune(now);
    const settled = this.#settled;
    this.#settled = [];
    return settled;
  }

  /**
   * Applies a record that was read from the log.
   * @param now The present time.
   * @param offset Its offset.
   * @param record The record, absent where it cannot be read.
   */
  apply(
    now: Instant,
    offset: LogOffset,
    record: ClaimRecord | undefined,
  ): void {
    this.index.apply(now, offset, record);
  }

  #judge(now: Instant, pending: Pending): void {
    const { claim, record, appended } = pending;
    const readBack = record !== undefined && this.index.hasRead(record);
    const winner = this.index.winner(claim.key);
    const trusted = this.#options.rules.mayRunClaimed({
      appended,
      readBack,
      isLowest: winner?.nonce === claim.nonce,
    });
    if (readBack || trusted) {
      this.#settle(pending, this.#verdict(claim, trusted ? claim : winner));
      return;
    }
    if (now < pending.deadline) return;
    this.#settle(pending, refusedClaim(claim.key, TIMED_OUT));
  }

  #verdict(claim: KeyClaim, winner: KeyClaim | undefined): ClaimVerdict {
    if (winner === undefined) return refusedClaim(claim.key, TIMED_OUT);
    const judged = claim.epoch === undefined
      ? "covered"
      : this.index.judgeEpoch(claim.epoch);
    if (this.#options.rules.acceptsEpoch(judged)) {
      return { kind: "winner", claim: winner };
    }
    return refusedClaim(claim.key, judged === "ahead" ? AHEAD : TOO_OLD);
  }

  #refuse(claim: KeyClaim, cause: FailureCause): void {
    const { nonce, key } = claim;
    this.#settled.push({ nonce, verdict: refusedClaim(key, cause) });
  }

  #settle(pending: Pending, verdict: ClaimVerdict): void {
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

const TOO_OLD: FailureCause = {
  reason: "expired",
  message: "The key is older than the claims that are kept; it is not run.",
  outcome: "unknown",
};

const AHEAD: FailureCause = {
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
