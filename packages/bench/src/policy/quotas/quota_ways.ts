import {
  AccountQuotaMeter,
  DemandMeter,
  type Instant,
  TokenBucket,
} from "@foxtailwind/core";
import {
  type CreateEnforcer,
  type EmulatedQuota,
  type Lender,
  QuotaEnforcer,
  type QuotaView,
} from "./quota_enforcer.ts";

const ALONE: QuotaView = { present: 1, known: 1, reports: [] };

/** Splits the quota evenly among the nodes that are heard. */
class EqualShares extends QuotaEnforcer {
  readonly #bucket: TokenBucket;
  #view = ALONE;

  constructor(now: Instant) {
    super();
    this.#bucket = new TokenBucket(now, 0);
  }

  override tryTake(now: Instant, cost: number, quota: EmulatedQuota): boolean {
    const rate = quota.rate / this.#view.known;
    const capacity = quota.burst / this.#view.known;
    if (
      this.#bucket.level(now, { rate, capacity }) < Math.min(cost, capacity)
    ) {
      return false;
    }
    this.#bucket.take(cost);
    return true;
  }

  override report() {
    return { admitted: 0, demand: 0 };
  }

  override apply(view: QuotaView): void {
    this.#view = view;
  }
}

/** Splits the quota in proportion to what the nodes are asked for. */
class DemandShares extends QuotaEnforcer {
  readonly #bucket: TokenBucket;
  readonly #demand: DemandMeter;
  #view = ALONE;

  constructor(now: Instant) {
    super();
    this.#bucket = new TokenBucket(now, 0);
    this.#demand = new DemandMeter(now);
  }

  override tryTake(now: Instant, cost: number, quota: EmulatedQuota): boolean {
    this.#demand.record(now, cost);
    const own = this.#demand.rate(now);
    const others = this.#view.reports.reduce(
      (sum, { demand }) => sum + demand,
      0,
    );
    const part = own / (own + others) * this.#view.present / this.#view.known;
    const rate = quota.rate * part;
    const capacity = quota.burst * part;
    if (
      this.#bucket.level(now, { rate, capacity }) < Math.min(cost, capacity)
    ) {
      return false;
    }
    this.#bucket.take(cost);
    return true;
  }

  override report(now: Instant) {
    return { admitted: 0, demand: this.#demand.rate(now) };
  }

  override apply(view: QuotaView): void {
    this.#view = view;
  }
}

/** How much credit a node asks for, as the time that it lasts. */
const CREDIT_SECONDS = 0.5;

/** Spends credit that the account's own node lends in batches. */
class LentCredit extends QuotaEnforcer {
  readonly #lend: Lender;
  readonly #demand: DemandMeter;
  /** Spent while the account's node can't be reached. */
  readonly #fallback: TokenBucket;
  #credit = 0;
  #view = ALONE;

  constructor(now: Instant, lend: Lender) {
    super();
    this.#lend = lend;
    this.#demand = new DemandMeter(now);
    this.#fallback = new TokenBucket(now, 0);
  }

  override tryTake(now: Instant, cost: number, quota: EmulatedQuota): boolean {
    this.#demand.record(now, cost);
    if (this.#credit < cost) {
      const wanted = Math.max(
        cost - this.#credit,
        this.#demand.rate(now) * CREDIT_SECONDS,
      );
      const lent = this.#lend(wanted);
      if (lent === undefined) return this.#takeAlone(now, cost, quota);
      this.#credit += lent;
    }
    if (this.#credit < cost) return false;
    this.#credit -= cost;
    return true;
  }

  override report() {
    return { admitted: 0, demand: 0 };
  }

  override apply(view: QuotaView): void {
    this.#view = view;
  }

  #takeAlone(now: Instant, cost: number, quota: EmulatedQuota): boolean {
    const rate = quota.rate / this.#view.known;
    const capacity = quota.burst / this.#view.known;
    const level = this.#fallback.level(now, { rate, capacity });
    if (level < Math.min(cost, capacity)) return false;
    this.#fallback.take(cost);
    return true;
  }
}

/** Shares a pool that all nodes keep copies of, and splits it when it is low. */
class SharedPool extends QuotaEnforcer {
  readonly #meter: AccountQuotaMeter;
  #view = ALONE;

  constructor(now: Instant) {
    super();
    this.#meter = new AccountQuotaMeter(now);
  }

  override tryTake(now: Instant, cost: number, quota: EmulatedQuota): boolean {
    const decision = this.#meter.tryTake(now, cost, {
      quota: { ...quota, unit: "tokens", plainTokens: 0 },
      slack: quota.slack,
      membership: this.#view,
    });
    return decision.kind === "admitted";
  }

  override report(now: Instant) {
    return this.#meter.use(now);
  }

  override apply(view: QuotaView, now: Instant): void {
    this.#view = view;
    this.#meter.applyPeers(now, view.reports);
  }
}

/** The ways that are compared. */
export const QUOTA_WAYS: ReadonlyMap<string, CreateEnforcer> = new Map<
  string,
  CreateEnforcer
>([
  ["equal shares", (now) => new EqualShares(now)],
  ["demand shares", (now) => new DemandShares(now)],
  ["lent credit", (now, { lend }) => new LentCredit(now, lend)],
  ["shared pool", (now) => new SharedPool(now)],
]);
