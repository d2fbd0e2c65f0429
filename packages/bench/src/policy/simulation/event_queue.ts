import { type Instant, instant } from "@foxtailwind/core";
import TinyQueue from "tinyqueue";

interface Scheduled {
  readonly at: Instant;
  readonly order: number;
  readonly run: () => void;
}

/** Runs actions in the order of their virtual time. */
export class EventQueue {
  readonly #heap = new TinyQueue<Scheduled>([], earlier);
  #scheduled = 0;
  #now = instant(0);

  /** The present virtual time. */
  get now(): Instant {
    return this.#now;
  }

  /**
   * Schedules an action.
   * @param at When it is due, not before the present.
   * @param run The action.
   */
  schedule(at: Instant, run: () => void): void {
    const due = instant(Math.max(at, this.#now));
    this.#heap.push({ at: due, order: this.#scheduled, run });
    this.#scheduled += 1;
  }

  /**
   * Moves to the next time at which something is due, and runs all of it.
   * @returns Whether anything was due.
   */
  runNext(): boolean {
    const next = this.#heap.peek();
    if (next === undefined) return false;
    this.#now = next.at;
    while (this.#heap.peek()?.at === next.at) this.#heap.pop()?.run();
    return true;
  }
}

function earlier(left: Scheduled, right: Scheduled): number {
  return left.at - right.at || left.order - right.order;
}
