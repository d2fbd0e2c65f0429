import type { Failure } from "@foxtailwind/core";
import type { Result } from "neverthrow";

/** Lets go of what this node holds for the others, when it stops. */
export abstract class HandOver {
  /**
   * Tells the peers that this node takes no new work.
   * @returns Once all reachable peers have confirmed.
   */
  abstract announceLeaving(): Promise<Result<void, Failure>>;

  /**
   * Gives the engines that this node controls to other nodes. Requests in
   * progress on them go on here until they end.
   * @returns Once others control them, or why not.
   */
  abstract releaseEngines(): Promise<Result<void, Failure>>;
}
