import type {
  EngineId,
  Failure,
  FencingNumber,
  Instant,
  NodeId,
} from "@foxtailwind/core";
import type { Result } from "neverthrow";
import { EngineAssignment } from "../serving/engine_assignment.ts";
import { OrderAuthorizer } from "../serving/order_authorizer.ts";
import type { ClusterView } from "./cluster_view.ts";

/** Authorizes orders to engines according to the cluster's ownership rules. */
export class ClusterOrderAuthorizer extends OrderAuthorizer {
  readonly #cluster: ClusterView;

  /** @param cluster The cluster view, which decides. */
  constructor(cluster: ClusterView) {
    super();
    this.#cluster = cluster;
  }

  override authorizeOrder(
    engine: EngineId,
    now: Instant,
  ): Result<FencingNumber, Failure> {
    return this.#cluster.authorizeOrder(engine, now);
  }
}

/** Finds the controllers of engines from the cluster's log. */
export class ClusterAssignment extends EngineAssignment {
  readonly #cluster: ClusterView;

  /** @param cluster The cluster view, which knows the controllers. */
  constructor(cluster: ClusterView) {
    super();
    this.#cluster = cluster;
  }

  override controllerOf(engine: EngineId): NodeId | undefined {
    return this.#cluster.controllerOf(engine);
  }

  override onChange(listener: () => void): void {
    this.#cluster.onChange(listener);
  }
}
