import {
  type AdapterName,
  adapterNameKey,
  type BackendServerId,
  type Duration,
  EngineOccupancy,
  EngineSlots,
  hasPlaceAfterLoad,
  type Instant,
  instant,
  type LoadSource,
  milliseconds,
  type SlotOrder,
} from "@foxtailwind/core";
import type { EventQueue } from "./event_queue.ts";

const SLOTS = 8;
const REQUEST_PLACES = 12;
const RUN_TIME = 400;
/** The number of adapters that the engine itself keeps in memory. */
const CACHED_ADAPTERS = 51;
const STORE_LOAD_TIME = 288;
const CACHE_LOAD_TIME = 29;
/** An order to the engine and its answer, in milliseconds. */
const ORDER_TIME = 2;
const CHECK_INTERVAL = milliseconds(20);

/** What an engine's owner tells other nodes. */
export interface EngineReport {
  readonly adapters: readonly (AdapterName & {
    readonly version: number;
    readonly isLoading: boolean;
  })[];
  readonly running: number;
  readonly room: number;
  readonly isFull: boolean;
  readonly cacheSize: number;
  readonly loadTime: Duration;
  readonly reloadTime: Duration;
}

interface Waiter {
  readonly name: AdapterName;
  readonly until: number;
  readonly answer: (isGranted: boolean) => void;
}

/** An engine and its owner, in virtual time. */
export class SimulatedEngine {
  readonly id: BackendServerId;
  /** Whether requests beyond its places may not wait for a load. */
  boundsWaiters = true;
  readonly loads: Record<LoadSource, number> = { cache: 0, store: 0 };
  readonly #events: EventQueue;
  readonly #slots = new EngineSlots({
    slots: SLOTS,
    concurrentLoads: 4,
    cachedAdapters: 100,
  });
  readonly #occupancy = new EngineOccupancy();
  /** The engine's cache, the oldest adapter first. */
  readonly #cache = new Set<string>();
  readonly #loadedAt = new Map<string, number>();
  #waiters: readonly Waiter[] = [];
  readonly #queue: (() => void)[] = [];
  #executing = 0;
  #isOrdering = false;
  #mostRunning = 0;

  /**
   * @param id The engine.
   * @param events The virtual time.
   */
  constructor(id: BackendServerId, events: EventQueue) {
    this.id = id;
    this.#events = events;
  }

  /** The highest number of requests that ran at once. */
  get mostRunning(): number {
    return this.#mostRunning;
  }

  /**
   * Reports the engine's state.
   * @returns The report.
   */
  report(): EngineReport {
    const { loadTimes } = this.#slots;
    return {
      adapters: this.#slots.slots
        .filter((slot) => slot.state !== "leaving")
        .map(({ model, adapter, version, state }) => ({
          model,
          adapter,
          version,
          isLoading: state === "loading",
        })),
      running: this.#occupancy.running,
      room: this.#slots.availableSlots(this.#now()),
      isFull: this.#occupancy.isFull(REQUEST_PLACES),
      cacheSize: loadTimes.cacheSize,
      loadTime: loadTimes.estimateFrom("store"),
      reloadTime: loadTimes.estimateFrom("cache"),
    };
  }

  /**
   * Requests a use, and waits for a load if needed.
   * @param name The adapter.
   * @param until When the request gives up.
   * @returns Whether it may run.
   */
  async use(name: AdapterName, until: number): Promise<boolean> {
    const now = this.#now();
    if (this.#occupancy.isFull(REQUEST_PLACES)) return false;
    if (this.#tryBegin(name)) return true;
    const isAwaited = this.#slots.find(name)?.state === "loading" ||
      this.#waiters.some((one) => one.name.adapter === name.adapter);
    if (!isAwaited && !this.#slots.canLoad(now, name)) return false;
    if (this.boundsWaiters && !this.#hasPlaceAfterLoad()) return false;
    this.#slots.requestLoad(now, name, 0);
    const answer = new Promise<boolean>((resolve) => {
      this.#waiters = [...this.#waiters, { name, until, answer: resolve }];
    });
    this.#step();
    return await answer;
  }

  /**
   * Runs a request whose use was granted, after the engine's own queue.
   * @param name The adapter.
   * @param onStart Called when it begins to run.
   */
  run(name: AdapterName, onStart: () => void): void {
    if (this.#executing >= REQUEST_PLACES) {
      this.#queue.push(() => {
        this.run(name, onStart);
      });
      return;
    }
    this.#executing += 1;
    onStart();
    this.#events.add(RUN_TIME, () => {
      this.#executing -= 1;
      this.#release(name);
      this.#queue.shift()?.();
    });
  }

  #release(name: AdapterName): void {
    this.#occupancy.end();
    this.#slots.release(this.#now(), name);
    this.#step();
  }

  #hasPlaceAfterLoad(): boolean {
    return hasPlaceAfterLoad({
      places: REQUEST_PLACES,
      running: this.#occupancy.running,
      waiting: this.#waiters.length,
    });
  }

  #tryBegin(name: AdapterName): boolean {
    const version = this.#slots.acquire(this.#now(), name, 0);
    if (version === undefined) return false;
    this.#occupancy.begin();
    this.#mostRunning = Math.max(this.#mostRunning, this.#occupancy.running);
    return true;
  }

  /** Sends the next order or check, one at a time. */
  #step(): void {
    if (this.#isOrdering) return;
    const now = this.#now();
    const check = this.#slots.nextLoadCheck();
    if (check !== undefined && check.at <= now) {
      this.#send(() => {
        this.#check(check.name);
      });
      return;
    }
    const order = this.#slots.nextOrder(now);
    if (order !== undefined) {
      this.#send(() => {
        this.#execute(order);
      });
    } else if (check !== undefined) {
      this.#events.add(check.at - now, () => {
        this.#step();
      });
    }
  }

  #send(act: () => void): void {
    this.#isOrdering = true;
    this.#events.add(ORDER_TIME, () => {
      this.#isOrdering = false;
      act();
      this.#step();
    });
  }

  #execute(order: SlotOrder): void {
    const key = adapterNameKey(order.name);
    this.#keep(key, order.kind === "load");
    const answer = order.kind === "load" ? "accepted" : "holds";
    this.#slots.applyAnswer(this.#now(), order, answer);
  }

  #keep(key: string, isLoad: boolean): void {
    if (isLoad) {
      const source = this.#cache.has(key) ? "cache" : "store";
      this.loads[source] += 1;
      const took = source === "cache" ? CACHE_LOAD_TIME : STORE_LOAD_TIME;
      this.#loadedAt.set(key, this.#events.now + took);
    }
    this.#cache.delete(key);
    this.#cache.add(key);
    const [oldest] = this.#cache;
    if (this.#cache.size > CACHED_ADAPTERS && oldest !== undefined) {
      this.#cache.delete(oldest);
    }
  }

  #check(name: AdapterName): void {
    const now = this.#now();
    if (now < (this.#loadedAt.get(adapterNameKey(name)) ?? 0)) {
      this.#slots.postponeLoadCheck(now, name, CHECK_INTERVAL);
      return;
    }
    this.#slots.markLoaded(now, name);
    const waiting = this.#waiters;
    this.#waiters = waiting.filter((one) => one.name.adapter !== name.adapter);
    for (const waiter of waiting) {
      if (waiter.name.adapter !== name.adapter) continue;
      waiter.answer(waiter.until > now && this.#tryBegin(name));
    }
  }

  #now(): Instant {
    return instant(this.#events.now);
  }
}
