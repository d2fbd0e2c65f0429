import { type DeploymentEvent, type Duration, later } from "@foxtailwind/core";
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
