import type {
  EngineId,
  Failure,
  FencingNumber,
  Instant,
  Member,
  NodeId,
} from "@foxtailwind/core";
import type { Result } from "neverthrow";

/** What a node knows of its cluster: who lives, who controls what. */
export abstract class ClusterView {
  /** The members that neither leave nor are suspected. */
  abstract readonly live: readonly Member[];

  /**
   * Finds the node that controls an engine. This node counts only once the
   * waits after a takeover are over.
   * @param engine The engine.
   * @returns The node, or nothing where none controls the engine now.
   */
  abstract controllerOf(engine: EngineId): NodeId | undefined;

  /**
   * Decides whether this node may give an engine a destructive order.
   * @param engine The engine.
   * @param now The present time.
   * @returns The order's fencing number, or why none may be given.
   */
  abstract current(
    engine: EngineId,
    now: Instant,
  ): Result<FencingNumber, Failure>;

  /**
   * Calls back after each change of members or controllers.
   * @param listener Called without arguments.
   */
  abstract onChange(listener: () => void): void;
}
