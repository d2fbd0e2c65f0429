import { type DeploymentEvent, type Duration, later } from "@foxtailwind/core";
import type { WorkloadRequest } from "../workloads/workload.ts";
import type { EventQueue } from "./event_queue.ts";

/** The events that the policy is to learn of at its next decision. */
export class PolicyInbox {
  readonly #queue: EventQueue;
  #events: DeploymentEvent[] = [];

  /** @param queue The virtual time. */
  constructor(queue: EventQueue) {
    this.#queue = queue;
  }

  /**
   * Tells an event now.
   * @param event The event.
   */
  tell(event: DeploymentEvent): void {
    this.#events.push(event);
  }

  /**
   * Tells an event after a delay.
   * @param delay How late it arrives.
   * @param event The event.
   */
  tellLate(delay: Duration, event: DeploymentEvent): void {
    const due = later(this.#queue.now, delay);
    this.#queue.schedule(due, () => {
      this.tell(event);
    });
  }

  /**
   * Takes the events out.
   * @returns The events since the last call.
   */
  take(): readonly DeploymentEvent[] {
    const events = this.#events;
    this.#events = [];
    return events;
  }
}

/**
 * Describes the arrival of a request.
 * @param work The request.
 * @param times Its class's target, and how long it has waited elsewhere.
 * @returns The event.
 */
export function requestArrived(
  work: WorkloadRequest,
  times: {
    readonly firstTokenTarget: Duration;
    readonly waitedBefore: Duration;
  },
): DeploymentEvent {
  return {
    kind: "request_arrived",
    queued: {
      request: work.request,
      adapter: work.adapter,
      class: work.class,
      tenant: work.tenant,
      ...times,
      promptTokens: work.promptTokens,
      maximumTokens: work.outputTokens,
      prefixHash: work.prefixHash,
    },
  };
}
