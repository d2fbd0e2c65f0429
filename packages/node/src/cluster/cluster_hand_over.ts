import type { Failure } from "@foxtailwind/core";
import { err, ok, type Result } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import { HandOver } from "../drain/mod.ts";
import type { ClusterNode } from "./cluster_node.ts";

const POLL_MILLISECONDS = 50;
const MAXIMUM_WAIT_MILLISECONDS = 10_000;

/** Hands the engines of a leaving node over to other nodes. */
export class ClusterHandOver extends HandOver {
  readonly #cluster: ClusterNode;

  /** @param cluster This node's membership and ownership. */
  constructor(cluster: ClusterNode) {
    super();
    this.#cluster = cluster;
  }

  override async announceLeaving(): Promise<Result<void, Failure>> {
    const isAnnouncedToAll = await this.#cluster.leave();
    if (isAnnouncedToAll) return ok(undefined);
    return err(failure("unavailable", "Some heartbeat peers do not answer."));
  }

  override async releaseEngines(): Promise<Result<void, Failure>> {
    let waited = 0;
    while (this.#cluster.controlledEngines.length > 0) {
      if (this.#cluster.liveMembers.length === 0) return ok(undefined);
      if (waited >= MAXIMUM_WAIT_MILLISECONDS) {
        return err(failure("timeout", "Engines are still controlled here."));
      }
      await sleep(POLL_MILLISECONDS);
      waited += POLL_MILLISECONDS;
    }
    return ok(undefined);
  }
}

function failure(reason: Failure["reason"], message: string): Failure {
  return {
    reason,
    step: "hand_over",
    peer: "cluster",
    message,
    outcome: "unknown",
  };
}
