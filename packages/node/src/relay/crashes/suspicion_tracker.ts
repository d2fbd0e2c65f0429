import {
  type ContentDigest,
  type CrashSuspicion,
  type RegistryEntry,
  RELAY_SENTENCE,
  RequestQuarantine,
  type ServerRegistry,
  type SuspicionKey,
} from "@foxtailwind/core";
import type { SteadyClock } from "../../clock/steady_clock.ts";
import type { ComponentLogger } from "../../logging/component_logger.ts";
import type { SuspicionChange } from "../shared_log.ts";

/** The dependencies of {@link SuspicionTracker}. */
export interface SuspicionTrackerParts {
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
}

/** Applies the log's suspicions that requests crash servers. */
export class SuspicionTracker {
  readonly quarantine = new RequestQuarantine();
  readonly #parts: SuspicionTrackerParts;
  #refusedContents: ReadonlySet<ContentDigest> = new Set();
  /** Called with suspicions dropped because their servers are alive. */
  onSuspicionsDisproved: (dropped: readonly SuspicionKey[]) => void = () =>
    undefined;
  /** Called when servers were added, removed or restarted. */
  onRegistryChanged: () => void = () => undefined;
  /** Called when further request contents are refused. */
  onContentsRefused: () => void = () => undefined;
  /** Returns the suspicions of this node that the log may not hold yet. */
  pendingSuspicions: () => readonly SuspicionKey[] = () => [];

  /** @param parts The dependencies. */
  constructor(parts: SuspicionTrackerParts) {
    this.#parts = parts;
  }

  /**
   * Applies a change read from the log.
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
   * Applies the complete list of suspicions that the log holds.
   * @param suspicions The suspicions.
   */
  applyListing(suspicions: readonly CrashSuspicion[]): void {
    this.quarantine.retainOnly([...suspicions, ...this.pendingSuspicions()]);
    for (const suspicion of suspicions) {
      this.applyChange({ kind: "added", suspicion });
    }
  }

  /** Logs the contents that have become refused since the last call. */
  reportRefused(): void {
    const contents = this.quarantine.quarantinedContents(
      this.#parts.clock.now(),
    );
    if (contents === this.#refusedContents) return;
    const added = [...contents].filter((content) =>
      !this.#refusedContents.has(content)
    );
    this.#refusedContents = contents;
    for (const content of added) {
      this.#parts.logger.warn(RELAY_SENTENCE.quarantined, { content });
    }
    if (added.length > 0) this.onContentsRefused();
  }

  /**
   * Records that a server which writes another entry is alive.
   * @param registry The registry before the entry.
   * @param entry The entry.
   */
  recordServerEntry(registry: ServerRegistry, entry: RegistryEntry): void {
    if (entry.kind === "gone" || !this.quarantine.hasCrashes) return;
    const { id, start } = entry.server;
    const known = registry.newestOffset(id);
    if (known === undefined || entry.offset <= known) return;
    const now = this.#parts.clock.now();
    this.onSuspicionsDisproved(
      this.quarantine.recordServerWrite(now, id, start),
    );
  }
}
