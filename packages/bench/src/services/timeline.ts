import { type Instant, instant } from "@foxtailwind/core";

interface Entry {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Virtual time: actions that run in their order, without waiting. */
export class Timeline {
  #now = 0;
  #count = 0;
  /** A binary heap, the earliest entry first. */
  readonly #heap: Entry[] = [];

  /** The present virtual time. */
  get now(): Instant {
    return instant(this.#now);
  }

  /**
   * Plans an action.
   * @param delay Milliseconds from now.
   * @param run The action.
   */
  after(delay: number, run: () => void): void {
    this.#count += 1;
    const at = this.#now + Math.max(0, delay);
    this.#heap.push({ at, order: this.#count, run });
    this.#siftUp(this.#heap.length - 1);
  }

  /**
   * Runs the next action.
   * @returns Whether there was one.
   */
  step(): boolean {
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
      let least = index;
      if (this.#isBefore(left, least)) least = left;
      if (this.#isBefore(right, least)) least = right;
      if (least === index) return;
      this.#swap(index, least);
      index = least;
    }
  }

  #isBefore(left: number, right: number): boolean {
    const one = this.#heap[left];
    const other = this.#heap[right];
    if (one === undefined || other === undefined) return false;
    return one.at < other.at ||
      (one.at === other.at && one.order < other.order);
  }

  #swap(left: number, right: number): void {
    const one = this.#heap[left];
    const other = this.#heap[right];
    if (one === undefined || other === undefined) return;
    this.#heap[left] = other;
    this.#heap[right] = one;
  }
}
