import {
  elapsed,
  type EngineId,
  type Instant,
  type LogOffset,
  type NodeId,
} from "../shared/mod.ts";
import type { TenureReason, TenureRecord } from "./tenure.ts";

interface Attempt {
  readonly engine: EngineId;
  readonly base: LogOffset;
  readonly reason: TenureReason;
  readonly successors: readonly NodeId[];
  readonly startedAt: Instant;
  /** Whether the record may still take effect. */
  isPending: boolean;
}

/** Tracks the tenure records that this run appended and may still apply. */
export class TenureRecordTracker {
  readonly #attempts = new Map<string, Attempt>();

  /**
   * Tracks a record. Call this before its append starts.
   * @param now The present time.
   * @param record The record.
   */
  track(now: Instant, record: TenureRecord): void {
    const { engine, base, reason, successors } = record;
    this.#attempts.set(record.id, {
      engine,
      base,
      reason,
      successors,
      startedAt: now,
      isPending: true,
    });
  }

  /**
   * Marks a record as settled: it was read back from the log, or the log
   * rejected the append.
   * @param id The record's id.
   */
  settle(id: string): void {
    const attempt = this.#attempts.get(id);
    if (attempt !== undefined) attempt.isPending = false;
  }

  /**
   * Removes the attempts that were based on an earlier tenure.
   * @param engine The engine.
   * @param current The offset of the current tenure.
   */
  dropStale(engine: EngineId, current: LogOffset): void {
    for (const [id, attempt] of this.#attempts) {
      const isStale = attempt.engine === engine && attempt.base !== current;
      if (isStale) this.#attempts.delete(id);
    }
  }

  /**
   * Checks whether a claim of an engine by this run may still take effect.
   * @param engine The engine.
   * @returns Whether a claim is pending.
   */
  hasPendingClaim(engine: EngineId): boolean {
    return this.#pending(engine).some(({ reason }) =>
      reason === "initial" || reason === "takeover" || reason === "repair"
    );
  }

  /**
   * Checks whether a hand-over appended for the engine's current tenure may
   * still take effect.
   * @param engine The engine.
   * @returns Whether a hand-over is pending.
   */
  hasPendingHandOver(engine: EngineId): boolean {
    return this.#pending(engine).some(({ reason }) => reason === "handover");
  }

  /**
   * Lists the successors named by pending records.
   * @param engine The engine.
   * @returns One list of nodes per record.
   */
  proposedSuccessors(engine: EngineId): readonly (readonly NodeId[])[] {
    return this.#pending(engine).map(({ successors }) => successors);
  }

  /**
   * Checks whether an attempt for an engine is too recent for another one.
   * @param engine The engine.
   * @param options The present time and the wait between attempts.
   * @returns Whether the wait has not passed yet.
   */
  hasRecentAttempt(
    engine: EngineId,
    options: { readonly now: Instant; readonly wait: number },
  ): boolean {
    for (const attempt of this.#attempts.values()) {
      if (attempt.engine !== engine) continue;
      if (elapsed(attempt.startedAt, options.now) < options.wait) return true;
    }
    return false;
  }

  #pending(engine: EngineId): readonly Attempt[] {
    return [...this.#attempts.values()].filter((attempt) =>
      attempt.engine === engine && attempt.isPending
    );
  }
}
