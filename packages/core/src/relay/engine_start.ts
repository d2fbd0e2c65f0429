import {
  isDifferentStart,
  isOlderStart,
  type ServerStart,
} from "../shared/mod.ts";

/**
 * How a report's start relates to the start that an engine's owner works with.
 */
export type ReportOutcome =
  /** The report is of that start. */
  | "current"
  /** The report is of a start that is over, as far as is known. */
  | "late"
  /** The engine has restarted. */
  | "restarted";

/**
 * The start of one engine that its owner works with. It is learned from two
 * sources, the registry and the engine's own reports, and neither is always
 * ahead: the registry may be read late, and a report may have been answered
 * before a restart. If only reports have named the current start, an earlier
 * start time marks a registry change as older. An earlier start time that two
 * consecutive reports name means that the engine's clock stepped back, since
 * owners ask for reports one after the other.
 */
export class EngineStart {
  #current: ServerStart | undefined;
  /** The start last read from the registry. */
  #registered: ServerStart | undefined;
  /** An earlier start time that the last report named. */
  #earlierReported: ServerStart | undefined;

  /** @param initial The start in the registry, if any. */
  constructor(initial: ServerStart | undefined) {
    this.#current = initial;
    this.#registered = initial;
  }

  /** The start that the owner works with, if known. */
  get current(): ServerStart | undefined {
    return this.#current;
  }

  /**
   * Applies the start that the registry has now.
   * @param start The start, if any.
   * @returns Whether the engine has restarted.
   */
  applyRegistered(start: ServerStart | undefined): boolean {
    const previous = this.#registered;
    this.#registered = start ?? previous;
    if (previous !== undefined && !isDifferentStart(previous, start)) {
      return false;
    }
    const wasRegistered = this.#current === previous;
    if (!isDifferentStart(this.#current, start)) {
      this.#current ??= start;
      return false;
    }
    if (!wasRegistered && isOlderStart(start, this.#current)) return false;
    this.#change(start);
    return true;
  }

  /**
   * Applies the start that a report names.
   * @param start The start, if any.
   * @returns How it relates to the current start.
   */
  applyReported(start: ServerStart | undefined): ReportOutcome {
    if (!isDifferentStart(this.#current, start)) {
      this.#change(start ?? this.#current);
      return "current";
    }
    if (isOlderStart(start, this.#current) && start !== this.#earlierReported) {
      this.#earlierReported = start;
      return "late";
    }
    this.#change(start);
    return "restarted";
  }

  #change(start: ServerStart | undefined): void {
    this.#current = start;
    this.#earlierReported = undefined;
  }
}
