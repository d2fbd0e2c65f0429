import type { EngineId, Failure } from "@foxtailwind/core";
import type {
  CacheEvent,
  EngineClient,
  EngineLoadReport,
  EngineState,
} from "@foxtailwind/edges";
import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MILLISECONDS = 500;

/** Learns what an engine publishes. */
export abstract class EnginePollListener {
  /** @param report The engine's load, which lags. */
  abstract onReport(report: EngineLoadReport): void;

  /** The engine refuses connections. */
  abstract onRefused(): void;

  /** @param events Changes of its prefix cache, late and with gaps. */
  abstract onCacheEvents(events: readonly CacheEvent[]): void;
  /**
   * @param state The engine's state after it has started anew.
   * @param previousBootId The run before.
   */
  abstract onRestart(state: EngineState, previousBootId: string): void;
  /** @param state The engine's state, read while it is needed. */
  abstract onState(state: EngineState): void;
  /** Whether the engine's state is to be read at the next poll. */
  abstract get needsState(): boolean;
}

/** What a watch needs. */
export interface EnginePollerParts {
  readonly engine: EngineId;
  readonly client: EngineClient;
  readonly listener: EnginePollListener;
  /** The run of the engine that is known already. */
  readonly bootId: string;
}

/** Polls an engine's reports and cache events, and notices its restart. */
export class EnginePoller {
  readonly #parts: EnginePollerParts;
  #bootId: string;
  #lastSequence = 0;
  #stopped = false;

  /** @param parts What the watch needs. */
  constructor(parts: EnginePollerParts) {
    this.#parts = parts;
    this.#bootId = parts.bootId;
  }

  /** Polls until {@link stop}. */
  async run(): Promise<void> {
    do {
      await this.#poll();
      await sleep(POLL_INTERVAL_MILLISECONDS);
    } while (!this.isStopped());
  }

  /** The run of the engine that was seen last. */
  get bootId(): string {
    return this.#bootId;
  }

  /**
   * Reads the engine's state now, as after a sign of a restart.
   * @returns Whether the run that was known before goes on, as far as is known.
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

  /** Tells whether {@link stop} was called. */
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
 * Tells whether an engine could not be reached at all.
 * @param failure Why a call to it failed.
 * @returns Whether the connection was refused.
 */
export function isRefusal(failure: Failure): boolean {
  return failure.reason === "unavailable" && failure.outcome === "not_run";
}
