import type { TargetLoad } from "../dispatch/class_counts.ts";
import type {
  AdapterKey,
  AdapterReference,
  Duration,
  EngineId,
} from "../shared/mod.ts";
import type { AdapterStanding } from "./engine_view.ts";

/** How an adapter stands at an engine. */
export interface StandingAdapter {
  readonly key: AdapterKey;
  readonly adapter: AdapterReference;
  readonly standing: AdapterStanding;
}

/** What other nodes learn of an engine, besides its adapters. */
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
  readonly ready: readonly TargetLoad[];
  readonly blocked: readonly TargetLoad[];
  readonly runningByTarget: readonly TargetLoad[];
}
