import type {
  EngineId,
  Failure,
  FencingNumber,
  Instant,
  NodeId,
} from "@foxtailwind/core";
import type { Result } from "neverthrow";
import { EngineAssignment } from "../serving/engine_assignment.ts";
import { OrderRight } from "../serving/order_right.ts";
import type { ClusterView } from "./cluster_view.ts";

/** The right to order, as the cluster's rules give it. */
export class ClusterOrderRight extends OrderRight {
  readonly #cluster: ClusterView;

  /** @param cluster Decides. */
  constructor(cluster: ClusterView) {
    super();
    this.#cluster = cluster;
  }

  override current(
    engine: EngineId,
    now: Instant,
  ): Result<FencingNumber, Failure> {
    return this.#cluster.current(engine, now);
  }
}

/** The engines' controllers, as the cluster's log names them. */
export class ClusterAssignment extends EngineAssignment {
  readonly #cluster: ClusterView;

  /** @param cluster Knows the controllers. */
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
