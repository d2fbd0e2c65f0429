import {
  adapterKey,
  type EngineController,
  type EngineId,
  type Instant,
  milliseconds,
  type PrefixHistory,
  type RequestId,
  type RequestObserver,
} from "@foxtailwind/core";
import type {
  CacheEvent,
  EngineLoadReport,
  EngineState,
} from "@foxtailwind/edges";
import type { SteadyClock } from "../clock/steady_clock.ts";
import { EnginePollListener } from "./engine_poller.ts";

/** A request that the controller before sent may be so long on its way. */
const MAXIMUM_TRANSIT_MILLISECONDS = 1_000;

/** What a follower works with. */
export interface EngineStateTrackerParts {
  readonly engine: EngineId;
  readonly clock: SteadyClock;
  readonly observer: RequestObserver;
  readonly prefixes: PrefixHistory;
  readonly controller: () => EngineController;
  readonly controlledSince: () => Instant;
  readonly isHeld: (request: RequestId) => boolean;
  readonly onRestart: (state: EngineState, over: string) => void;
  /** Learns whether the engine takes connections. */
  readonly setReachable: (isReachable: boolean) => void;
}

/** Brings what an engine publishes to its controller. */
export class EngineStateTracker extends EnginePollListener {
  readonly #parts: EngineStateTrackerParts;
  /** Requests whose stream broke: the engine may still run them. */
  readonly #orphans = new Set<RequestId>();

  /** @param parts What to work with. */
  constructor(parts: EngineStateTrackerParts) {
    super();
    this.#parts = parts;
  }

  override get needsState(): boolean {
    return this.#orphans.size > 0 ||
      this.#parts.controller().hasUnverifiedAdapters;
  }

  /**
   * Keeps the pin of a request whose stream broke until the engine's state
   * shows that it runs no more.
   * @param request The request.
   */
  addOrphan(request: RequestId): void {
    this.#orphans.add(request);
  }

  /**
   * Takes a request back whose stream is to be resumed.
   * @param request The request.
   * @returns Whether it still has its place and its pin.
   */
  removeOrphan(request: RequestId): boolean {
    return this.#orphans.delete(request);
  }

  override onRefused(): void {
    this.#parts.setReachable(false);
  }

  override onReport(report: EngineLoadReport): void {
    this.#parts.setReachable(true);
    const { clock, engine, observer } = this.#parts;
    observer.recordBatch(clock.now(), { engine, fill: report.batchFill });
    this.#parts.controller().reported(clock.now(), {
      running: report.running,
      waiting: report.waiting,
      stepTime: milliseconds(report.stepMilliseconds),
      age: milliseconds(report.ageMilliseconds),
    });
  }

  override onCacheEvents(events: readonly CacheEvent[]): void {
    const { engine, prefixes } = this.#parts;
    for (const event of events) {
      const prefix = { key: adapterKey(event.adapter), hash: event.prefixHash };
      if (event.kind === "stored") prefixes.recordStored(prefix, engine);
      else prefixes.recordEvicted(prefix, engine);
    }
  }

  override onState(state: EngineState): void {
    this.#releaseEndedOrphans(state);
    const { clock, controlledSince, isHeld } = this.#parts;
    const now = clock.now();
    if (now < controlledSince() + MAXIMUM_TRANSIT_MILLISECONDS) return;
    const inUse = state.running.filter(({ request }) => !isHeld(request))
      .map((running) => adapterKey(running.adapter));
    this.#parts.controller().reconcile(now, {
      resident: state.resident.map(adapterKey),
      loading: state.loading.map(adapterKey),
      inUse: new Set(inUse),
    });
  }

  override onRestart(state: EngineState, previousBootId: string): void {
    this.#orphans.clear();
    this.#parts.onRestart(state, previousBootId);
  }

  #releaseEndedOrphans(state: EngineState): void {
    const running = new Set(state.running.map(({ request }) => request));
    const now = this.#parts.clock.now();
    for (const request of this.#orphans) {
      if (running.has(request)) continue;
      this.#orphans.delete(request);
      this.#parts.controller().requestEnded(now, request, 0);
    }
  }
}
