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
  readonly at: Instant;
  /** Whether the record may still take effect. */
  isOpen: boolean;
}

/** The tenure records that this run appended and whose fate is not known. */
export class ClaimLedger {
  readonly #attempts = new Map<string, Attempt>();

  /**
   * Notes a record before its append starts.
   * @param now The present time.
   * @param record The record.
   */
  open(now: Instant, record: TenureRecord): void {
    const { engine, base, reason, successors } = record;
    this.#attempts.set(record.id, {
      engine,
      base,
      reason,
      successors,
      at: now,
      isOpen: true,
    });
  }

  /**
   * Notes that a record can have no further effect: it was read back, or the
   * log said that it was not appended.
   * @param id The record's id.
   */
  close(id: string): void {
    const attempt = this.#attempts.get(id);
    if (attempt !== undefined) attempt.isOpen = false;
  }

  /**
   * Forgets the attempts that a new tenure makes stale.
   * @param engine The engine.
   * @param current The offset of the tenure in force.
   */
  drop(engine: EngineId, current: LogOffset): void {
    for (const [id, attempt] of this.#attempts) {
      const isStale = attempt.engine === engine && attempt.base !== current;
      if (isStale) this.#attempts.delete(id);
    }
  }

  /**
   * Tells whether a claim of an engine by this run may still take effect.
   * @param engine The engine.
   * @returns Whether one may.
   */
  mayClaim(engine: EngineId): boolean {
    return this.#open(engine).some(({ reason }) =>
      reason === "initial" || reason === "takeover" || reason === "repair"
    );
  }

  /**
   * Tells whether a hand-over of an engine was ever appended for its tenure.
   * @param engine The engine.
   * @returns Whether it may take effect.
   */
  mayHandOver(engine: EngineId): boolean {
    return this.#open(engine).some(({ reason }) => reason === "handover");
  }

  /**
   * Lists the successors that records under way would name.
   * @param engine The engine.
   * @returns The nodes, a list for each record.
   */
  proposedSuccessors(engine: EngineId): readonly (readonly NodeId[])[] {
    return this.#open(engine).map(({ successors }) => successors);
  }

  /**
   * Tells whether the last attempt for an engine is too recent for another.
   * @param engine The engine.
   * @param options The present time and how long to wait.
   * @returns Whether to wait.
   */
  isRecent(
    engine: EngineId,
    options: { readonly now: Instant; readonly wait: number },
  ): boolean {
    for (const attempt of this.#attempts.values()) {
      if (attempt.engine !== engine) continue;
      if (elapsed(attempt.at, options.now) < options.wait) return true;
    }
    return false;
  }

  #open(engine: EngineId): readonly Attempt[] {
    return [...this.#attempts.values()].filter((attempt) =>
      attempt.engine === engine && attempt.isOpen
    );
  }
}
