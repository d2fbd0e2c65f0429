import type { Duration, ModelId, ServiceId } from "../shared/mod.ts";
import type { ClientAccount } from "./accounts/mod.ts";

/** A target service of a route, and its share of the route's requests. */
export interface RouteTarget {
  readonly service: ServiceId;
  /** Relative to the other targets of the route. */
  readonly weight: number;
}

/** How matching requests are routed and handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly repeatable: boolean;
  /** Whether answers are event streams. */
  readonly streams: boolean;
  /** Whether a stream may be resumed on another server after its last event. */
  readonly resumable: boolean;
  /** How many servers may run one request. */
  readonly attempts: number;
  /** The longest time from a request's arrival to its final answer. */
  readonly timeLimit: Duration;
  /** The time within which answers, or first events, are due. */
  readonly target: Duration;
  /** The longest pause between events of a stream that isn't late. */
  readonly longestPause?: Duration;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Whether requests need no API key although there are client accounts. */
  readonly isAnonymous?: boolean;
}

/** A base model that the engines of a service may hold. */
export interface EngineModel {
  readonly model: ModelId;
  readonly megabytes: number;
  readonly adapterMegabytes: number;
}

/** The capacity of a service's engines. */
export interface EngineSpecification {
  readonly models: readonly EngineModel[];
  /** Memory for base models and adapters together; 0 if it isn't limited. */
  readonly megabytes: number;
  readonly adapterSlots: number;
}

/** A service of backend servers. */
export interface RelayService {
  readonly id: ServiceId;
  /** Connections that one server accepts from all nodes together. */
  readonly connectionLimit: number;
  /** Set if the servers are model engines. */
  readonly engine?: EngineSpecification;
}

/** Limits on the size and duration of callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTime: Duration;
  readonly idleTime: Duration;
}

/** A complete configuration; a later version replaces it entirely. */
export interface RelayConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RelayService[];
  readonly limits: CallerLimits;
  /** The client accounts; omitted if requests need no API keys. */
  readonly accounts?: readonly ClientAccount[];
}
