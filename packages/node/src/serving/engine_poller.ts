import type { EngineId, Failure } from "@foxtailwind/core";
import type {
  CacheEvent,
  EngineClient,
  EngineLoadReport,
  EngineState,
} from "@foxtailwind/edges";
import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MILLISECONDS = 500;

/** Receives what an {@link EnginePoller} reads. */
export abstract class EnginePollListener {
  /**
   * Handles a load report.
   * @param report The engine's load, which lags behind.
   */
  abstract onReport(report: EngineLoadReport): void;

  /** Handles a refused connection. */
  abstract onRefused(): void;

  /**
   * Handles cache events.
   * @param events Changes of the engine's prefix cache, late and with gaps.
   */
  abstract onCacheEvents(events: readonly CacheEvent[]): void;

  /**
   * Handles a restart of the engine.
   * @param state The engine's state after the restart.
   * @param previousBootId The boot id before the restart.
   */
  abstract onRestart(state: EngineState, previousBootId: string): void;

  /**
   * Handles the engine's state, which is read while it is needed.
   * @param state The state.
   */
  abstract onState(state: EngineState): void;

  /** Whether to read the engine's state at the next poll. */
  abstract get needsState(): boolean;
}

/** The dependencies of an {@link EnginePoller}. */
export interface EnginePollerParts {
  readonly engine: EngineId;
  readonly client: EngineClient;
  readonly listener: EnginePollListener;
  /** The last known boot id of the engine. */
  readonly bootId: string;
}

/** Polls an engine's load and cache events, and detects its restart. */
export class EnginePoller {
  readonly #parts: EnginePollerParts;
  #bootId: string;
  #lastSequence = 0;
  #stopped = false;

  /** @param parts The dependencies. */
  constructor(parts: EnginePollerParts) {
    this.#parts = parts;
    this.#bootId = parts.bootId;
  }

  /** Polls until {@link stop} is called. */
  async run(): Promise<void> {
    do {
      await this.#poll();
      await sleep(POLL_INTERVAL_MILLISECONDS);
    } while (!this.isStopped());
  }

  /** The boot id of the engine that was last seen. */
  get bootId(): string {
    return this.#bootId;
  }

  /**
   * Reads the engine's state now, for example if it may have restarted.
   * @returns Whether the engine is known to run without a restart.
   */
  async readState(): Promise<boolean> {
    const state = await this.#parts.client.readState();
    if (this.#stopped) return false;
    if (state.isErr()) {
      this.#handleFailure(state.error);
      return false;
    }
    if (state.value.bootId !== this.#bootId) {
      const previousBootId = this.#bootId;
      this.#bootId = state.value.bootId;
      this.#lastSequence = 0;
      this.#parts.listener.onRestart(state.value, previousBootId);
      return false;
    }
    this.#parts.listener.onState(state.value);
    return true;
  }

  /** Stops polling. */
  stop(): void {
    this.#stopped = true;
  }

  /** Checks whether {@link stop} was called. */
  isStopped(): boolean {
    return this.#stopped;
  }

  #handleFailure(failure: Failure): void {
    if (isRefusal(failure)) this.#parts.listener.onRefused();
  }

  async #poll(): Promise<void> {
    const { client, listener } = this.#parts;
    const report = await client.readLoad();
    if (this.isStopped()) return;
    if (report.isErr()) {
      this.#handleFailure(report.error);
      return;
    }
    if (report.value.bootId !== this.#bootId) {
      await this.readState();
      return;
    }
    listener.onReport(report.value);
    if (listener.needsState) await this.readState();
    const events = await client.readCacheEvents(this.#lastSequence);
    if (events.isErr() || this.isStopped()) return;
    this.#lastSequence = events.value.at(-1)?.sequence ?? this.#lastSequence;
    if (events.value.length > 0) listener.onCacheEvents(events.value);
  }
}

/**
 * Checks whether an engine could not be reached at all.
 * @param failure The failure of a call to the engine.
 * @returns Whether the connection was refused.
 */
export function isRefusal(failure: Failure): boolean {
  return failure.reason === "unavailable" && failure.outcome === "not_run";
}
