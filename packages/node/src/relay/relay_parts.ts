import type {
  CallerTimeouts,
  ClientAccount,
  Duration,
  RequestDurations,
} from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { AccountAccess } from "./accounts/account_access.ts";
import type { AccountQuotas } from "./accounts/account_quotas.ts";
import type { AnswerMemory } from "./answer_memory.ts";
import type { BackendPools } from "./backend_pools.ts";
import type { RelayWire } from "./caller_wire.ts";
import type { ClientResources } from "./clients/client_resources.ts";
import type { CrashReports } from "./crashes/crash_reports.ts";
import type { Knowledge } from "./knowledge.ts";
import type { PlannedStop } from "./relay_stop.ts";
import type { RequestLimits } from "./request_limits.ts";
import type { RequestPlacer } from "./request_placer.ts";
import type { RetryBudgets } from "./retry_budgets.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { ServerLoads } from "./server_loads.ts";
import type { StreamDirectory } from "./streams/stream_directory.ts";
import type { StreamSourceRecorder } from "./streams/stream_source_recorder.ts";

/** The dependencies of request relaying. */
export interface RelayParts {
  readonly knowledge: Knowledge;
  readonly placer: RequestPlacer;
  readonly pools: BackendPools;
  readonly loads: ServerLoads;
  readonly retryBudgets: RetryBudgets;
  readonly crashReports: CrashReports;
  readonly limits: RequestLimits;
  readonly access: AccountAccess;
  readonly quotas: AccountQuotas;
  readonly callerTimeouts: CallerTimeouts;
  /** How long requests take, for what a stopping node still accepts. */
  readonly durations: RequestDurations;
  readonly streams: Pick<
    StreamDirectory,
    "archive" | "find" | "findArchived" | "record"
  >;
  readonly streamRecorder: Pick<
    StreamSourceRecorder,
    "findOnlySource" | "mayBegin"
  >;
  readonly wire: RelayWire;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
  /**
   * Called for each arriving request. If the node was on standby, it returns a
   * promise that resolves once the node has caught up with the log.
   */
  readonly onRequest: () => Promise<void> | undefined;
  /** Counts the nodes that share limits, including this one. */
  readonly countNodes: () => number;
  /** The stop in progress, if this node is stopping. */
  readonly plannedStop: () => PlannedStop | undefined;
  readonly clients: ClientResources;
  /** Limits what is held back of servers' answers. */
  readonly answerMemory: AnswerMemory;
  /** Counts a request that was refused before it was relayed. */
  readonly recordRefusal: (
    reason: string,
    account: ClientAccount | undefined,
  ) => void;
  /** Counts a request that has ended. */
  readonly recordRequest: (
    request: Pick<RoutedRequest, "route" | "account">,
    outcome: string,
    took: Duration,
    firstAfter: Duration | undefined,
  ) => void;
}
