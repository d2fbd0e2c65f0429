import {
  type ContentDigest,
  type CrashSuspicion,
  type RegistryEntry,
  RELAY_SENTENCE,
  RequestQuarantine,
  type ServerRegistry,
  type SuspicionKey,
} from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { PartLogger } from "../logging/part_logger.ts";
import type { SuspicionChange } from "./shared_log.ts";

/** What news of suspicions are taken with. */
export interface SuspicionTrackerParts {
  readonly clock: SteadyClock;
  readonly logger: PartLogger;
}

/** Takes what the log says of requests that crash servers. */
export class SuspicionTracker {
  readonly quarantine = new RequestQuarantine();
  readonly #parts: SuspicionTrackerParts;
  #refusedContents: ReadonlySet<ContentDigest> = new Set();
  /** Called with suspicions of servers that were seen to live. */
  onServersLive: (dropped: readonly SuspicionKey[]) => void = () => undefined;
  /** Called once further requests are refused. */
  onContentsRefused: () => void = () => undefined;
  /** Gives the suspicions of this node that the log may not have yet. */
  unwritten: () => readonly SuspicionKey[] = () => [];

  /** @param parts What they are taken with. */
  constructor(parts: SuspicionTrackerParts) {
    this.#parts = parts;
  }

  /**
   * Takes a change of the log.
   * @param change The change.
   */
  applyChange(change: SuspicionChange): void {
    if (change.kind === "dropped") this.quarantine.dropSuspicion(change.key);
    else {this.quarantine.addSuspicion(
        this.#parts.clock.now(),
        change.suspicion,
      );}
  }

  /**
   * Takes all that the log holds.
   * @param suspicions The suspicions.
   */
  applyListing(suspicions: readonly CrashSuspicion[]): void {
    this.quarantine.retainOnly([...suspicions, ...this.unwritten()]);
    for (const suspicion of suspicions) {
      this.applyChange({ kind: "added", suspicion });
    }
  }

  /** Tells of the contents that are refused since it was last called. */
  reportRefused(): void {
    const { quarantinedContents: contents } = this.quarantine;
    if (contents === this.#refusedContents) return;
    const added = [...contents].filter((one) =>
      !this.#refusedContents.has(one)
    );
    this.#refusedContents = contents;
    for (const content of added) {
      this.#parts.logger.warn(RELAY_SENTENCE.quarantined, { content });
    }
    if (added.length > 0) this.onContentsRefused();
  }

  /**
   * Takes note that a server which writes a further entry lives.
   * @param registry What was known before the entry.
   * @param entry The entry.
   */
  recordServerEntry(registry: ServerRegistry, entry: RegistryEntry): void {
    if (entry.kind === "gone" || this.quarantine.isEmpty) return;
    const { id, start } = entry.server;
    const known = registry.newestOffset(id);
    if (known === undefined || entry.offset <= known) return;
    const now = this.#parts.clock.now();
    this.onServersLive(this.quarantine.recordServerWrite(now, id, start));
  }
}
