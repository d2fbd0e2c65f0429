import type { EngineId } from "@foxtailwind/core";

/** An engine's state as tracked by its controller. */
export interface EngineActivity {
  readonly engine: EngineId;
  readonly adapterSlots: number;
  readonly batchCapacity: number;
  /** The resident adapters, as `adapter@version`. */
  readonly resident: readonly string[];
  readonly loading: readonly string[];
  readonly waiting: number;
  readonly running: number;
}

/** Provides the activity of the engines that this node controls. */
export abstract class EngineActivitySource {
  /** @returns The current activity of each engine. */
  abstract engines(): readonly EngineActivity[];
}
