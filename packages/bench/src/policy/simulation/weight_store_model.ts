import { type Instant, instant } from "@foxtailwind/core";
import type { StoreProfile } from "../workloads/workload.ts";
import type { EventQueue } from "./event_queue.ts";

interface ActiveLoad {
  remainingMilliseconds: number;
  readonly done: () => void;
}

const MILLISECONDS_PER_SECOND = 1_000;
const EPSILON = 1e-6;

/**
 * A weight store that refuses nothing: loads beyond those that run at full
 * speed share the same rate.
 */
export class WeightStoreModel {
  readonly #queue: EventQueue;
  readonly #profile: StoreProfile;
  #active: ActiveLoad[] = [];
  #advancedTo = instant(0);
  #generation = 0;
  /** How many loads began. */
  started = 0;
  /** The most loads that ran at once. */
  mostAtOnce = 0;

  /**
   * @param queue The virtual time.
   * @param profile What the store allows.
   */
  constructor(queue: EventQueue, profile: StoreProfile) {
    this.#queue = queue;
    this.#profile = profile;
  }

  /**
   * Begins to fetch weights.
   * @param done Called when all have arrived.
   */
  fetch(done: () => void): void {
    this.#advance();
    const { fullSpeedLoads, loadsPerSecond } = this.#profile;
    const alone = MILLISECONDS_PER_SECOND * fullSpeedLoads / loadsPerSecond;
    this.#active.push({ remainingMilliseconds: alone, done });
    this.started += 1;
    this.mostAtOnce = Math.max(this.mostAtOnce, this.#active.length);
    this.#scheduleNext();
  }

  #speed(): number {
    return Math.min(1, this.#profile.fullSpeedLoads / this.#active.length);
  }

  #advance(): void {
    const now = this.#queue.now;
    const progress = (now - this.#advancedTo) * this.#speed();
    for (const load of this.#active) load.remainingMilliseconds -= progress;
    this.#advancedTo = now;
  }

  #scheduleNext(): void {
    this.#generation += 1;
    if (this.#active.length === 0) return;
    const generation = this.#generation;
    const shortest = Math.min(
      ...this.#active.map((load) => load.remainingMilliseconds),
    );
    const due: Instant = instant(
      this.#queue.now + Math.max(0, shortest) / this.#speed(),
    );
    this.#queue.schedule(due, () => {
      if (generation === this.#generation) this.#finish();
    });
  }

  #finish(): void {
    this.#advance();
    const ended = this.#active.filter(isDone);
    this.#active = this.#active.filter((load) => !isDone(load));
    this.#scheduleNext();
    for (const load of ended) load.done();
  }
}

function isDone(load: ActiveLoad): boolean {
  return load.remainingMilliseconds <= EPSILON;
}
