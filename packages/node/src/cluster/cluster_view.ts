import type {
  EngineId,
  Failure,
  FencingNumber,
  Instant,
  Member,
  NodeId,
} from "@foxtailwind/core";
import type { Result } from "neverthrow";

/** A node's view of its cluster: live members and controllers of engines. */
export abstract class ClusterView {
  /** The members that are neither leaving nor suspected. */
  abstract readonly liveMembers: readonly Member[];

  /**
   * Finds the node that controls an engine. This node is returned only once the
   * waits after a takeover have ended.
   * @param engine The engine.
   * @returns The node, or `undefined` if no node controls the engine now.
   */
  abstract controllerOf(engine: EngineId): NodeId | undefined;

  /**
   * Decides whether this node may give an engine a destructive order.
   * @param engine The engine.
   * @param now The present time.
   * @returns The order's fencing number, or why the order is not allowed.
   */
  abstract authorizeOrder(
    engine: EngineId,
    now: Instant,
  ): Result<FencingNumber, Failure>;

  /**
   * Registers a listener for changes of members or controllers.
   * @param listener Called after each change.
   */
  abstract onChange(listener: () => void): void;
}
