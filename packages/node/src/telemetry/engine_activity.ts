import type { EngineId } from "@foxtailwind/core";

/** What an engine does, as its controller knows it. */
export interface EngineActivity {
  readonly engine: EngineId;
  readonly adapterSlots: number;
  readonly batchCapacity: number;
  /** The adapters resident, as `adapter@version`. */
  readonly resident: readonly string[];
  readonly loading: readonly string[];
  readonly waiting: number;
  readonly running: number;
}

/** Knows the engines that this node controls. */
export abstract class EngineActivitySource {
  /** @returns The engines' activity now. */
  abstract engines(): readonly EngineActivity[];
}
