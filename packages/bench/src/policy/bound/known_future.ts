import { adapterKey } from "@foxtailwind/core";
import type { Workload, WorkloadRequest } from "../workloads/workload.ts";
import { totalSlots } from "./stall_lower_bound.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** What a schedule that knows all arrivals reaches. */
export interface KnownFutureResult {
  readonly stallMilliseconds: number;
  readonly loads: number;
}

/**
 * Schedules loads with full knowledge of the arrivals: one pool of all slots,
 * the store's rate as the only limit, and eviction of the adapter whose next
 * use is farthest (Belady 1966). Requests run at once when their adapter is
 * there and pin nothing. It is a reference, not a bound: delaying requests to
 * merge their loads might do better still.
 * @param workload The workload.
 * @param options Whether adapters may be loaded before they are asked for.
 * @returns The measured requests' stall, and all loads.
 */
export function scheduleKnownFuture(
  workload: Workload,
  options: { readonly prefetch: boolean },
): KnownFutureResult {
  return new KnownFutureSchedule(workload, options.prefetch).run();
}

class KnownFutureSchedule {
  readonly #workload: Workload;
  readonly #prefetch: boolean;
  readonly #slots: number;
  readonly #loadTime: number;
  readonly #uses = new Map<string, number[]>();
  readonly #resident = new Set<string>();
  readonly #loading = new Map<string, number>();
  readonly #waiting = new Map<string, WorkloadRequest[]>();
  #arrived = 0;
  #stall = 0;
  #loads = 0;

  constructor(workload: Workload, prefetch: boolean) {
    this.#workload = workload;
    this.#prefetch = prefetch;
    this.#slots = totalSlots(workload);
    const { fullSpeedLoads, loadsPerSecond } = workload.store;
    this.#loadTime = MILLISECONDS_PER_SECOND * fullSpeedLoads / loadsPerSecond;
    for (const work of workload.requests) {
      const key = adapterKey(work.adapter);
      const uses = this.#uses.get(key) ?? [];
      uses.push(work.arrival);
      this.#uses.set(key, uses);
    }
  }

  run(): KnownFutureResult {
    const { requests } = this.#workload;
    while (this.#arrived < requests.length || this.#loading.size > 0) {
      this.#runNext(requests[this.#arrived]);
    }
    return { stallMilliseconds: this.#stall, loads: this.#loads };
  }

  #runNext(next: WorkloadRequest | undefined): void {
    const loadEnds = Math.min(...this.#loading.values());
    if (next !== undefined && next.arrival <= loadEnds) this.#arrive(next);
    else this.#endLoads(loadEnds);
    this.#startLoads(Math.min(next?.arrival ?? Infinity, loadEnds));
  }

  #arrive(work: WorkloadRequest): void {
    this.#arrived += 1;
    const key = adapterKey(work.adapter);
    this.#uses.get(key)?.shift();
    if (this.#resident.has(key)) return;
    const waiting = this.#waiting.get(key) ?? [];
    waiting.push(work);
    this.#waiting.set(key, waiting);
  }

  #endLoads(now: number): void {
    for (const [key, at] of this.#loading) {
      if (at > now) continue;
      this.#loading.delete(key);
      this.#resident.add(key);
      this.#serve(now, key);
    }
  }

  #serve(now: number, key: string): void {
    for (const work of this.#waiting.get(key) ?? []) {
      if (work.arrival < this.#workload.measuredFrom) continue;
      this.#stall += now - work.arrival;
    }
    this.#waiting.delete(key);
  }

  #startLoads(now: number): void {
    const { fullSpeedLoads } = this.#workload.store;
    while (this.#loading.size < fullSpeedLoads) {
      const key = this.#longestQueue() ?? this.#worthPrefetching();
      if (key === undefined) return;
      if (this.#resident.size + this.#loading.size >= this.#slots) {
        this.#resident.delete(this.#farthestUse());
      }
      this.#loading.set(key, now + this.#loadTime);
      this.#loads += 1;
    }
  }

  #longestQueue(): string | undefined {
    let best: string | undefined;
    let most = 0;
    for (const [key, requests] of this.#waiting) {
      if (this.#loading.has(key) || requests.length <= most) continue;
      best = key;
      most = requests.length;
    }
    return best;
  }

  #worthPrefetching(): string | undefined {
    if (!this.#prefetch) return undefined;
    const { requests } = this.#workload;
    const full = this.#resident.size + this.#loading.size >= this.#slots;
    const last = full ? this.#nextUse(this.#farthestUse()) : Infinity;
    for (let index = this.#arrived; index < requests.length; index += 1) {
      const work = requests[index];
      if (work === undefined || work.arrival >= last) return undefined;
      const key = adapterKey(work.adapter);
      if (!this.#resident.has(key) && !this.#loading.has(key)) return key;
    }
    return undefined;
  }

  #farthestUse(): string {
    let farthest = "";
    let latest = -1;
    for (const key of this.#resident) {
      const next = this.#nextUse(key);
      if (next <= latest) continue;
      farthest = key;
      latest = next;
    }
    return farthest;
  }

  #nextUse(key: string): number {
    return this.#uses.get(key)?.[0] ?? Number.MAX_VALUE;
  }
}
