import type { Failure } from "@foxtailwind/core";
import type { Result } from "neverthrow";

/** Hands the duties of a stopping node over to other nodes. */
export abstract class HandOver {
  /**
   * Tells the peers that this node takes no new work.
   * @returns Once all reachable peers have confirmed.
   */
  abstract announceLeaving(): Promise<Result<void, Failure>>;

  /**
   * Hands the engines that this node controls over to other nodes. Requests in
   * progress on them continue here until they end.
   * @returns Once other nodes control them, or why they do not.
   */
  abstract releaseEngines(): Promise<Result<void, Failure>>;
}
