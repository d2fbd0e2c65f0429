import {
  adapterHash,
  type AdapterName,
  type BackendServerId,
  type EngineSlots,
  type Instant,
} from "@foxtailwind/core";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { Knowledge } from "./knowledge.ts";

/** Dependencies of `EngineLoads`. */
export interface EngineLoadsParts {
  readonly knowledge: Pick<Knowledge, "cachedAdapters" | "workCounts">;
  readonly logger: ComponentLogger;
}

/** Counts and logs the loads and evictions of one engine. */
export class EngineLoads {
  readonly #engine: BackendServerId;
  readonly #slots: EngineSlots;
  readonly #parts: EngineLoadsParts;

  /**
   * @param engine The engine.
   * @param slots Its adapter slots.
   * @param parts The dependencies.
   */
  constructor(
    engine: BackendServerId,
    slots: EngineSlots,
    parts: EngineLoadsParts,
  ) {
    this.#engine = engine;
    this.#slots = slots;
    this.#parts = parts;
  }

  /**
   * Records that an ordered adapter is resident.
   * @param now The present time.
   * @param name The adapter.
   */
  markLoaded(now: Instant, name: AdapterName): void {
    const source = this.#slots.markLoaded(now, name);
    const version = this.#slots.find(name)?.version ?? 0;
    if (source === undefined) return;
    const { cachedAdapters, workCounts } = this.#parts.knowledge;
    const isCachedElsewhere = source === "store" &&
      cachedAdapters.isCachedElsewhere(this.#engine, {
        hash: adapterHash(name),
        minimumVersion: version,
      });
    workCounts.increment(
      source === "cache" ? "adapter_cache_load" : "adapter_store_load",
    );
    if (isCachedElsewhere) workCounts.increment("adapter_avoidable_load");
    this.#parts.logger.debug("An adapter was loaded.", {
      engine: this.#engine,
      ...name,
      source,
      cached_elsewhere: isCachedElsewhere,
    });
  }

  /** Records that an adapter was evicted, or leaves when it is idle. */
  recordEviction(): void {
    this.#parts.knowledge.workCounts.increment("adapter_eviction");
  }
}
