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

/** How long a request of the previous controller may be in transit. */
const MAXIMUM_TRANSIT_MILLISECONDS = 1_000;

/** The dependencies of an {@link EngineStateTracker}. */
export interface EngineStateTrackerParts {
  readonly engine: EngineId;
  readonly clock: SteadyClock;
  readonly observer: RequestObserver;
  readonly prefixes: PrefixHistory;
  readonly controller: () => EngineController;
  readonly controlledSince: () => Instant;
  readonly hasRequest: (request: RequestId) => boolean;
  readonly onRestart: (state: EngineState, previousBootId: string) => void;
  /** Called with whether the engine accepts connections. */
  readonly setReachable: (isReachable: boolean) => void;
}

/** Forwards what an engine publishes to its controller. */
export class EngineStateTracker extends EnginePollListener {
  readonly #parts: EngineStateTrackerParts;
  /** Requests whose stream broke, which the engine may still run. */
  readonly #orphanedRequests = new Set<RequestId>();

  /** @param parts The dependencies. */
  constructor(parts: EngineStateTrackerParts) {
    super();
    this.#parts = parts;
  }

  override get needsState(): boolean {
    return this.#orphanedRequests.size > 0 ||
      this.#parts.controller().hasUnverifiedAdapters;
  }

  /**
   * Keeps the adapter of a request pinned after its stream broke, until the
   * engine's state shows that the request no longer runs.
   * @param request The request.
   */
  addOrphan(request: RequestId): void {
    this.#orphanedRequests.add(request);
  }

  /**
   * Removes a request from the orphans, to resume its stream.
   * @param request The request.
   * @returns Whether it still has its batch place and its adapter pinned.
   */
  removeOrphan(request: RequestId): boolean {
    return this.#orphanedRequests.delete(request);
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
    const { clock, controlledSince, hasRequest } = this.#parts;
    const now = clock.now();
    if (now < controlledSince() + MAXIMUM_TRANSIT_MILLISECONDS) return;
    const inUse = state.running.filter(({ request }) => !hasRequest(request))
      .map((running) => adapterKey(running.adapter));
    this.#parts.controller().reconcile(now, {
      resident: state.resident.map(adapterKey),
      loading: state.loading.map(adapterKey),
      inUse: new Set(inUse),
    });
  }

  override onRestart(state: EngineState, previousBootId: string): void {
    this.#orphanedRequests.clear();
    this.#parts.onRestart(state, previousBootId);
  }

  #releaseEndedOrphans(state: EngineState): void {
    const running = new Set(state.running.map(({ request }) => request));
    const now = this.#parts.clock.now();
    for (const request of this.#orphanedRequests) {
      if (running.has(request)) continue;
      this.#orphanedRequests.delete(request);
      this.#parts.controller().requestEnded(now, request, 0);
    }
  }
}
