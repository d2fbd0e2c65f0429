import {
  type Duration,
  type Instant,
  instant,
  milliseconds,
} from "../../shared/mod.ts";
import { AdmissionLanes, type LaneItem } from "./admission_lanes.ts";
import { type AdmissionTerms, latestStart } from "./admission_terms.ts";
import { ClassService } from "./class_service.ts";
import { type EnginePlaces, PlaceTurnover } from "./place_turnover.ts";
import { PrefillSpacing } from "./prefill_spacing.ts";

/** A request in one of the queue's two groups of lanes. */
class Waiting<Entry> {
  readonly entry: Entry;
  readonly terms: AdmissionTerms;
  readonly latestStart: Instant;
  /** Late ones go after all that can be in time. */
  isLate = false;
  isOver = false;

  constructor(entry: Entry, terms: AdmissionTerms) {
    this.entry = entry;
    this.terms = terms;
    this.latestStart = instant(latestStart(terms));
  }

  get tenant(): string {
    return this.terms.account ?? "";
  }

  /** Returns the request as an item of the lanes for late ones or others. */
  inLane(isLate: boolean): WaitingItem<Entry> {
    return new WaitingItem(this, isLate);
  }
}

class WaitingItem<Entry> implements LaneItem {
  readonly waiting: Waiting<Entry>;
  readonly #isLate: boolean;

  constructor(waiting: Waiting<Entry>, isLate: boolean) {
    this.waiting = waiting;
    this.#isLate = isLate;
  }

  get tenant(): string {
    return this.waiting.tenant;
  }

  get work(): number {
    return this.waiting.terms.work;
  }

  get priority(): number {
    return this.waiting.terms.priority;
  }

  get needsBreak(): boolean {
    return this.waiting.terms.needsBreak;
  }

  get deadline(): Instant {
    return this.waiting.latestStart;
  }

  get isWaiting(): boolean {
    return !this.waiting.isOver && this.waiting.isLate === this.#isLate;
  }
}

/**
 * The requests that wait for a place on one engine, their adapters being there.
 * Those that can still be in time go before those that can't; of each, the most
 * urgent class goes first, unless another is served much less often than all;
 * within a class, accounts share by work, and the earliest deadline of an
 * account goes first.
 */
export class AdmissionQueue<Entry> {
  readonly #waiting = new Map<Entry, Waiting<Entry>>();
  readonly #inTime = new AdmissionLanes<WaitingItem<Entry>>();
  readonly #late = new AdmissionLanes<WaitingItem<Entry>>();
  readonly #service = new ClassService();
  readonly #spacing = new PrefillSpacing();
  readonly #turnover = new PlaceTurnover();

  /** The waiting entries. */
  get waiting(): readonly Entry[] {
    return [...this.#waiting.keys()];
  }

  /** How long a use of the engine lasts on the average. */
  get useTime(): Duration {
    return this.#turnover.useTime;
  }

  /**
   * Records a request, whether it is admitted to the queue or refused.
   * @param now The present time.
   * @param priority The priority of its class.
   */
  recordAsked(now: Instant, priority: number): void {
    this.#service.recordAsked(now, priority);
  }

  /**
   * Records a use that has ended.
   * @param duration How long it lasted.
   */
  recordUse(duration: Duration): void {
    this.#turnover.observe(duration);
  }

  /**
   * Adds a request.
   * @param entry The entry that waits.
   * @param terms Its terms.
   */
  add(entry: Entry, terms: AdmissionTerms): void {
    const waiting = new Waiting(entry, terms);
    this.#waiting.set(entry, waiting);
    this.#inTime.add(waiting.inLane(false));
  }

  /**
   * Removes a request that nobody waits for any longer.
   * @param entry The entry that waited.
   * @returns Whether it was queued.
   */
  delete(entry: Entry): boolean {
    const waiting = this.#waiting.get(entry);
    if (waiting === undefined) return false;
    waiting.isOver = true;
    return this.#waiting.delete(entry);
  }

  /**
   * Takes the next request that may begin.
   * @param now The present time.
   * @param places The engine's places.
   * @returns Its entry, or `undefined` if none may begin yet.
   */
  next(now: Instant, places: EnginePlaces): Entry | undefined {
    if (places.free <= 0 || this.#waiting.size === 0) return undefined;
    this.#separateLate(now);
    this.#late.prune(now);
    const gate = {
      isSpacing: this.#spacing.opensAt > now,
      service: this.#service,
    };
    const item = this.#inTime.take(now, gate) ?? this.#late.take(now, gate);
    if (item === undefined) return undefined;
    const { entry, terms } = item.waiting;
    this.delete(entry);
    this.#service.recordServed(now, terms.priority);
    this.#spacing.begin(now, terms);
    return entry;
  }

  /** When a waiting request may begin if there is a place. */
  get nextAt(): Instant | undefined {
    if (this.#waiting.size === 0) return undefined;
    for (const { terms } of this.#waiting.values()) {
      if (!terms.needsBreak) return instant(0);
    }
    return this.#spacing.opensAt;
  }

  /** When the first waiting request gives up, if one says so. */
  get nextExpiryAt(): Instant | undefined {
    let first: Instant | undefined;
    for (const { terms: { waitsUntil } } of this.#waiting.values()) {
      if (waitsUntil === undefined) continue;
      if (first === undefined || waitsUntil < first) first = waitsUntil;
    }
    return first;
  }

  /**
   * Removes the requests whose senders no longer wait.
   * @param now The present time.
   * @returns Their entries.
   */
  takeExpired(now: Instant): readonly Entry[] {
    const expired = [...this.#waiting.values()].filter(({ terms }) =>
      terms.waitsUntil !== undefined && terms.waitsUntil <= now
    );
    for (const { entry } of expired) this.delete(entry);
    return expired.map(({ entry }) => entry);
  }

  /**
   * Estimates how long a further request would wait.
   * @param now The present time.
   * @param terms Its terms.
   * @param places The engine's places.
   * @returns The wait for a place and for the prefill of other prompts.
   */
  estimateWait(
    now: Instant,
    terms: AdmissionTerms,
    places: EnginePlaces,
  ): Duration {
    const ahead = this.#ahead(now, terms);
    const prefill = terms.needsBreak
      ? this.#spacing.wait(now, sumPrefill(ahead))
      : milliseconds(0);
    const wait = this.#turnover.wait(ahead.length, places);
    return milliseconds(Math.max(wait, prefill));
  }

  /**
   * Estimates how long a request of no certain class and account would wait.
   * @param now The present time.
   * @param places The engine's places.
   * @returns The wait behind all that wait now.
   */
  expectedWait(now: Instant, places: EnginePlaces): Duration {
    const waiting = [...this.#waiting.values()];
    const prefill = this.#spacing.wait(now, sumPrefill(waiting));
    return milliseconds(
      Math.max(prefill, this.#turnover.wait(waiting.length, places)),
    );
  }

  /** The waiting requests that go before a further one. */
  #ahead(now: Instant, terms: AdmissionTerms): readonly Waiting<Entry>[] {
    const isLate = latestStart(terms) < now;
    const isOwed = this.#service.isOwed(terms.priority);
    const tenant = terms.account ?? "";
    const ownTag = this.#tagAfterOwn(now, terms, isLate);
    const tags = new Map<string, number>();
    return [...this.#waiting.values()].filter((other) => {
      const isOtherLate = other.latestStart < now;
      if (isOtherLate !== isLate) return !isOtherLate;
      const { priority } = other.terms;
      if (priority !== terms.priority) {
        return priority < terms.priority ? !isOwed : false;
      }
      if (other.tenant === tenant) {
        return other.latestStart <= latestStart(terms);
      }
      const tag = tags.get(other.tenant) ?? this.#lanesOf(isLate)
        .startTag({ ...terms, tenant: other.tenant });
      tags.set(other.tenant, tag + 1 + other.terms.work);
      return tag <= ownTag;
    });
  }

  /** The start tag that a further request would be served with. */
  #tagAfterOwn(now: Instant, terms: AdmissionTerms, isLate: boolean): number {
    const tenant = terms.account ?? "";
    let tag = this.#lanesOf(isLate).startTag({ ...terms, tenant });
    for (const other of this.#waiting.values()) {
      const goesFirst = other.tenant === tenant &&
        other.terms.priority === terms.priority &&
        other.latestStart < now === isLate &&
        other.latestStart <= latestStart(terms);
      if (goesFirst) tag += 1 + other.terms.work;
    }
    return tag;
  }

  #lanesOf(isLate: boolean): AdmissionLanes<WaitingItem<Entry>> {
    return isLate ? this.#late : this.#inTime;
  }

  #separateLate(now: Instant): void {
    for (const waiting of this.#waiting.values()) {
      if (waiting.isLate || waiting.latestStart >= now) continue;
      waiting.isLate = true;
      this.#late.add(waiting.inLane(true));
    }
  }
}

function sumPrefill(
  waiting: readonly { readonly terms: AdmissionTerms }[],
): number {
  return waiting.reduce((sum, { terms }) => sum + terms.prefillTime, 0);
}
