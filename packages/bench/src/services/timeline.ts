import { type Instant, instant } from "@foxtailwind/core";

interface ScheduledAction {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** A virtual clock that runs scheduled actions in order without waiting. */
export class Timeline {
  #now = 0;
  #scheduledCount = 0;
  /** A binary min-heap with the earliest action at the root. */
  readonly #heap: ScheduledAction[] = [];

  /** The current virtual time. */
  get now(): Instant {
    return instant(this.#now);
  }

  /**
   * Schedules an action.
   * @param delay The delay in milliseconds; a negative one counts as 0.
   * @param run The action to run.
   */
  schedule(delay: number, run: () => void): void {
    this.#scheduledCount += 1;
    const at = this.#now + Math.max(0, delay);
    this.#heap.push({ at, sequence: this.#scheduledCount, run });
    this.#siftUp(this.#heap.length - 1);
  }

  /**
   * Advances the clock to the next action and runs it.
   * @returns Whether there was an action to run.
   */
  runNext(): boolean {
    const next = this.#heap[0];
    if (next === undefined) return false;
    const last = this.#heap.pop();
    if (last !== undefined && last !== next) {
      this.#heap[0] = last;
      this.#siftDown();
    }
    this.#now = next.at;
    next.run();
    return true;
  }

  #siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) return;
      this.#swap(index, parent);
      index = parent;
    }
  }

  #siftDown(): void {
    let index = 0;
    for (;;) {
      const left = index * 2 + 1;
      const right = left + 1;
      let smallest = index;
      if (this.#isBefore(left, smallest)) smallest = left;
      if (this.#isBefore(right, smallest)) smallest = right;
      if (smallest === index) return;
      this.#swap(index, smallest);
      index = smallest;
    }
  }

  #isBefore(left: number, right: number): boolean {
    const first = this.#heap[left];
    const second = this.#heap[right];
    if (first === undefined || second === undefined) return false;
    return first.at < second.at ||
      (first.at === second.at && first.sequence < second.sequence);
  }

  #swap(left: number, right: number): void {
    const first = this.#heap[left];
    const second = this.#heap[right];
    if (first === undefined || second === undefined) return;
    this.#heap[left] = second;
    this.#heap[right] = first;
  }
}
