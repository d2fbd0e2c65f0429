import { isOlderStart, isOtherStart, type ServerStart } from "../shared/mod.ts";

/** What a report says of the start that an engine's owner works with. */
export type ReportNews =
  /** It is of that start. */
  | "current"
  /** It is of one that is over, as far as can be told. */
  | "late"
  /** The engine has started again. */
  | "restarted";

/**
 * The start of one engine that its owner works with. Two sources tell of it,
 * the registry and the engine's own reports, and neither is always ahead: the
 * registry may be read late, and a report may have been answered before a
 * restart. Where only reports have told of the current start, the registry's
 * changes before it are told by the smaller time. A smaller time that two
 * reports in a row name is that of a clock which stepped back, since owners
 * ask for one report after the other.
 */
export class EngineStart {
  #current: ServerStart | undefined;
  /** The start that the registry told last. */
  #registered: ServerStart | undefined;
  /** A smaller start that the last report named. */
  #doubted: ServerStart | undefined;

  /** @param registered The start that the registry tells, if any. */
  constructor(registered: ServerStart | undefined) {
    this.#current = registered;
    this.#registered = registered;
  }

  /** The start that the owner works with, if any is known. */
  get current(): ServerStart | undefined {
    return this.#current;
  }

  /**
   * Takes the start that the registry tells now.
   * @param start The start, if any.
   * @returns Whether the engine has started again.
   */
  registered(start: ServerStart | undefined): boolean {
    const before = this.#registered;
    this.#registered = start ?? before;
    if (before !== undefined && !isOtherStart(before, start)) return false;
    const wasRegistered = this.#current === before;
    if (!isOtherStart(this.#current, start)) {
      this.#current ??= start;
      return false;
    }
    if (!wasRegistered && isOlderStart(start, this.#current)) return false;
    this.#change(start);
    return true;
  }

  /**
   * Takes the start that a report names.
   * @param start The start, if any.
   * @returns What it says of the current start.
   */
  reported(start: ServerStart | undefined): ReportNews {
    if (!isOtherStart(this.#current, start)) {
      this.#change(start ?? this.#current);
      return "current";
    }
    if (isOlderStart(start, this.#current) && start !== this.#doubted) {
      this.#doubted = start;
      return "late";
    }
    this.#change(start);
    return "restarted";
  }

  #change(start: ServerStart | undefined): void {
    this.#current = start;
    this.#doubted = undefined;
  }
}
