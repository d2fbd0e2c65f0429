import type {
  AdapterReference,
  ClassId,
  Duration,
  EngineId,
  Instant,
  RequestId,
} from "../shared/mod.ts";
import type { EngineCapacity, QueuedRequest } from "./engine_event.ts";

/** What happens in a deployment, as a policy learns of it. */
export type DeploymentEvent =
  | {
    readonly kind: "request_arrived";
    readonly queued: QueuedRequest;
  }
  | {
    /**
     * The caller has left. A request that waits is forgotten; one that was
     * dispatched still ends by `request_ended`, once the engine let it go.
     */
    readonly kind: "request_cancelled";
    readonly request: RequestId;
  }
  | {
    readonly kind: "load_ended";
    readonly engine: EngineId;
    readonly adapter: AdapterReference;
    readonly loaded: boolean;
  }
  | {
    readonly kind: "eviction_ended";
    readonly engine: EngineId;
    readonly adapter: AdapterReference;
    /** Whether the adapter has left; `true` where absent. */
    readonly evicted?: boolean;
  }
  | {
    readonly kind: "first_token";
    readonly engine: EngineId;
    readonly request: RequestId;
  }
  | {
    readonly kind: "request_ended";
    readonly engine: EngineId;
    readonly request: RequestId;
    readonly generatedTokens: number;
  }
  | {
    /**
     * The engine is new or restarted: nothing is loaded, nothing runs. What
     * waited for it is placed again; a request that ran there is forgotten,
     * and arrives anew where the shell may run it again.
     */
    readonly kind: "engine_started";
    readonly engine: EngineId;
    readonly capacity: EngineCapacity;
  }
  | { readonly kind: "engine_left"; readonly engine: EngineId }
  | {
    readonly kind: "engine_reported";
    readonly engine: EngineId;
    readonly running: number;
    readonly waiting: number;
    readonly stepTime: Duration;
    readonly age: Duration;
  }
  | {
    readonly kind: "prefix_event";
    readonly engine: EngineId;
    readonly change: "stored" | "evicted";
    readonly adapter: AdapterReference;
    readonly prefixHash: string;
  }
  | {
    readonly kind: "target_changed";
    readonly class: ClassId;
    readonly firstTokenTarget: Duration;
  };

/** What a policy wants done; the shell carries it out. */
export type DeploymentOrder =
  | {
    readonly kind: "dispatch";
    readonly engine: EngineId;
    readonly request: RequestId;
    readonly priority: number;
  }
  | {
    readonly kind: "load";
    readonly engine: EngineId;
    readonly adapter: AdapterReference;
  }
  | {
    readonly kind: "evict";
    readonly engine: EngineId;
    readonly adapter: AdapterReference;
  }
  | {
    /**
     * Gives a running request's place up for a more urgent one; it is
     * dispatched again later. An engine that honours priorities may hold it
     * on and even finish it, which `request_ended` tells.
     */
    readonly kind: "preempt";
    readonly engine: EngineId;
    readonly request: RequestId;
  }
  | {
    readonly kind: "refuse";
    readonly request: RequestId;
    readonly retryAfter: Duration;
  };

/**
 * Decides for a whole deployment. The daemon spreads these decisions over its
 * nodes; measurements and randomised runs drive them in one place, ours and
 * the baselines alike.
 */
export abstract class DeploymentPolicy {
  /**
   * Learns of an event.
   * @param now The present time.
   * @param event The event.
   */
  abstract handle(now: Instant, event: DeploymentEvent): void;

  /**
   * Decides what to do now.
   * @param now The present time.
   * @returns The orders, in the order in which to carry them out.
   */
  abstract decide(now: Instant): readonly DeploymentOrder[];

  /**
   * Tells when a decision may change though nothing happens before.
   * @param now The present time.
   * @returns The time to decide again, or nothing.
   */
  abstract nextWake(now: Instant): Instant | undefined;
}

/**
 * Tells whether an event may change what is decided at its engine: a first
 * token or a cached prefix frees nothing and asks for nothing.
 * @param event The event.
 * @returns Whether to decide anew.
 */
export function bearsOnDecisions(event: DeploymentEvent): boolean {
  return event.kind !== "first_token" && event.kind !== "prefix_event" &&
    event.kind !== "engine_reported";
}
