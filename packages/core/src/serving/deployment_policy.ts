import type {
  AdapterReference,
  ClassId,
  Duration,
  EngineId,
  Instant,
  RequestId,
} from "../shared/mod.ts";
import type { EngineCapacity, QueuedRequest } from "./engine_event.ts";

/** An event in a deployment that a policy handles. */
export type DeploymentEvent =
  | {
    readonly kind: "request_arrived";
    readonly queued: QueuedRequest;
  }
  | {
    /**
     * The caller has left. A waiting request is removed; a dispatched one
     * still ends with `request_ended` once the engine has released it.
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
    /** Whether the adapter was evicted; defaults to `true`. */
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
     * The engine is new or has restarted: nothing is loaded or running.
     * Requests that waited for it are routed again. Requests that ran on it
     * are removed, and arrive again if the shell may rerun them.
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

/** A decision of a policy, which the shell carries out. */
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
     * Gives the place of a running request to a more urgent one. The request
     * is dispatched again later. An engine that honours priorities may keep
     * and even finish it, which `request_ended` reports.
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
 * Decides for a whole deployment. The daemon distributes these decisions over
 * its nodes; benchmarks and randomised tests run this policy and the baselines
 * in one process.
 */
export abstract class DeploymentPolicy {
  /**
   * Handles an event.
   * @param now The present time.
   * @param event The event.
   */
  abstract handle(now: Instant, event: DeploymentEvent): void;

  /**
   * Makes the decisions that are due.
   * @param now The present time.
   * @returns The orders to carry out, in order.
   */
  abstract decide(now: Instant): readonly DeploymentOrder[];

  /**
   * Tells when decisions may change without an event.
   * @param now The present time.
   * @returns The time to decide again, or nothing.
   */
  abstract nextWake(now: Instant): Instant | undefined;
}

/**
 * Tells whether an event may change the decisions at its engine. A first token
 * or a cached prefix neither frees nor requests any resource.
 * @param event The event.
 * @returns Whether to decide again.
 */
export function affectsDecisions(event: DeploymentEvent): boolean {
  return event.kind !== "first_token" && event.kind !== "prefix_event" &&
    event.kind !== "engine_reported";
}
