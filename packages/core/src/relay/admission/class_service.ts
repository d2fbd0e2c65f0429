import type { Instant } from "../../shared/mod.ts";

/**
 * A class may go before more urgent ones while it is served less than this
 * share as often as all. The bound that holds is a quarter; the rest is a
 * margin for what is withdrawn or expires before its turn.
 */
const MINIMUM_SERVICE_SHARE = 0.35;
/** Requests are forgotten by halves, each time that this many ms pass. */
const HALF_LIFE_MILLISECONDS = 4_000;

interface ServiceCount {
  asked: number;
  served: number;
}

/**
 * How often the requests of each class were served lately. Bounds how far
 * urgent classes may displace the others.
 */
export class ClassService {
  readonly #counts = new Map<number, ServiceCount>();
  #decayedAt: Instant | undefined;

  /**
   * Records that a request asks for a place.
   * @param now The present time.
   * @param priority The priority of its class.
   */
  recordAsked(now: Instant, priority: number): void {
    this.#decay(now);
    this.#countOf(priority).asked += 1;
  }

  /**
   * Records that a request got a place.
   * @param now The present time.
   * @param priority The priority of its class.
   */
  recordServed(now: Instant, priority: number): void {
    this.#decay(now);
    this.#countOf(priority).served += 1;
  }

  /**
   * Tells whether a class is due a place before more urgent ones.
   * @param priority The priority of the class.
   * @returns Whether it lacks a whole request of its least share.
   */
  isOwed(priority: number): boolean {
    const own = this.#counts.get(priority);
    if (own === undefined || this.#counts.size < 2) return false;
    let asked = 0;
    let served = 0;
    for (const count of this.#counts.values()) {
      asked += count.asked;
      served += count.served;
    }
    const due = MINIMUM_SERVICE_SHARE * own.asked * served / asked;
    return due - own.served >= 1;
  }

  #countOf(priority: number): ServiceCount {
    const known = this.#counts.get(priority);
    if (known !== undefined) return known;
    const count = { asked: 0, served: 0 };
    this.#counts.set(priority, count);
    return count;
  }

  #decay(now: Instant): void {
    const since = now - (this.#decayedAt ?? now);
    this.#decayedAt = now;
    if (since <= 0) return;
    const kept = 0.5 ** (since / HALF_LIFE_MILLISECONDS);
    for (const count of this.#counts.values()) {
      count.asked *= kept;
      count.served *= kept;
    }
  }
}
