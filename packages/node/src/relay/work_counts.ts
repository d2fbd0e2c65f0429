/**
 * What a node does beside relaying requests: each kind wakes its process, and
 * most of them a peer's too.
 */
export type WorkKind =
  /** Exchanges of digests that this node began, and those that it answered. */
  | "exchange_asked"
  | "exchange_answered"
  /** Uses of engines that it asked peers for, and those that peers asked for. */
  | "use_asked"
  | "use_answered"
  /** Knowledge that it asked a peer for, and that a peer asked for. */
  | "knowledge_asked"
  | "knowledge_answered"
  /** Calls to the log that were answered, and those that failed. */
  | "log_answered"
  | "log_failed"
  /** Looks at claims, lapsed servers and limits. */
  | "look";

/** Counts what a node does, by kind. */
export class WorkCounts {
  readonly #counts = new Map<WorkKind, number>();

  /** All kinds that were counted, with their counts. */
  get counts(): ReadonlyMap<WorkKind, number> {
    return this.#counts;
  }

  /**
   * Counts one more.
   * @param kind Of what.
   */
  count(kind: WorkKind): void {
    this.#counts.set(kind, (this.#counts.get(kind) ?? 0) + 1);
  }
}
