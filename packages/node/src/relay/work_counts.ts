import type { ProbeOutcome } from "@foxtailwind/core";

/**
 * The kinds of work besides relaying requests. Each one wakes the node's
 * process, and most also wake a peer's process.
 */
export type WorkKind =
  /** Digest exchanges that this node began, and those that it answered. */
  | "exchange_asked"
  | "exchange_answered"
  /** Engine uses requested from peers, and those that peers requested. */
  | "use_asked"
  | "use_answered"
  /** Knowledge fetches sent to a peer, and those answered for a peer. */
  | "knowledge_asked"
  | "knowledge_answered"
  /** Origins of streams sent to peers, and those kept for peers. */
  | "origin_sent"
  | "origin_kept"
  /** Questions what began a stream, to peers, and those answered. */
  | "origin_asked"
  | "origin_answered"
  /** Batches of origins written to the log, and reads of them. */
  | "origins_written"
  | "origins_read"
  /** Changes of the registry sent to peers, and those received from them. */
  | "registry_sent"
  | "registry_received"
  /** Entries left out of digests because they can't be encoded. */
  | "digest_entry_rejected"
  /** Adapters that engines loaded from their caches, and from the store. */
  | "adapter_cache_load"
  | "adapter_store_load"
  /** Of the latter, those that another engine probably had in its cache. */
  | "adapter_avoidable_load"
  /** Accepted orders to unload an adapter. */
  | "adapter_eviction"
  /** Log calls that were answered, and those that failed. */
  | "log_answered"
  | "log_failed"
  /** Probes of servers that broke off calls, by what came of them. */
  | `probe_${ProbeOutcome}`
  /** Periodic checks of claims, expired servers and limits. */
  | "look";

/** Counts a node's work by kind. */
export class WorkCounts {
  readonly #counts = new Map<WorkKind, number>();

  /** The counts of all kinds counted so far. */
  get counts(): ReadonlyMap<WorkKind, number> {
    return this.#counts;
  }

  /**
   * Increments a count.
   * @param kind The kind of work.
   */
  increment(kind: WorkKind): void {
    this.#counts.set(kind, (this.#counts.get(kind) ?? 0) + 1);
  }
}
