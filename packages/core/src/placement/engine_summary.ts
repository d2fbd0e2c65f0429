import type { TargetCount } from "../dispatch/class_counts.ts";
import type {
  AdapterKey,
  AdapterReference,
  Duration,
  EngineId,
} from "../shared/mod.ts";
import type { AdapterStanding } from "./engine_view.ts";

/** An adapter and its standing at an engine. */
export interface AdapterWithStanding {
  readonly key: AdapterKey;
  readonly adapter: AdapterReference;
  readonly standing: AdapterStanding;
}

/** The state of an engine that is sent to other nodes, except its adapters. */
export interface EngineSummary {
  readonly engine: EngineId;
  readonly weight: number;
  readonly firstTokenTime: Duration;
  readonly serviceTime: Duration;
  readonly batchCapacity: number;
  readonly places: number;
  readonly running: number;
  readonly awaitedAdapters: number;
  readonly canMakeRoom: boolean;
  readonly ready: readonly TargetCount[];
  readonly blocked: readonly TargetCount[];
  readonly runningByTarget: readonly TargetCount[];
}
