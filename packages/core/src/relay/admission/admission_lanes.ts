import { ClassQueue, type QueuedWork } from "../../dispatch/mod.ts";
import type { Instant } from "../../shared/mod.ts";
import type { ClassService } from "./class_service.ts";

/**
 * An account may be ahead of its share by this many tokens, about three usual
 * requests, while its deadline is earlier than those of the others. Without it,
 * short bursts of an account that is within its share are late.
 */
const SLACK_TOKENS = 2_000;

/** A waiting request, as far as its order among others depends on it. */
export interface LaneItem extends QueuedWork {
  readonly priority: number;
  readonly needsBreak: boolean;
}

interface Lane<Item extends LaneItem> {
  readonly priority: number;
  readonly needsBreak: boolean;
  readonly queue: ClassQueue<Item>;
}

/** Which items may go now. */
export interface LaneGate {
  /** Whether prompts that need a break have to wait. */
  readonly isSpacing: boolean;
  readonly service: ClassService;
}

/**
 * Waiting requests by class. Within a class, accounts share by work. A class
 * has two lanes, since prompts that need a break may have to wait while others
 * go on.
 */
export class AdmissionLanes<Item extends LaneItem> {
  readonly #lanes: Lane<Item>[] = [];

  /**
   * Adds an item.
   * @param item The item.
   */
  add(item: Item): void {
    this.#lane(item).queue.add(item);
  }

  /**
   * Returns the start tag of an account's next request.
   * @param item A request of the class and account.
   * @returns The tag; the lowest of a class is served next.
   */
  startTag(item: Pick<LaneItem, "priority" | "needsBreak" | "tenant">): number {
    return this.#lane(item).queue.startTag(item.tenant);
  }

  /**
   * Takes the next item.
   * @param now The present time.
   * @param gate Which items may go.
   * @returns The item, or nothing if none may go.
   */
  take(now: Instant, { isSpacing, service }: LaneGate): Item | undefined {
    const ready = this.#lanes.filter(({ needsBreak, queue }) =>
      !(isSpacing && needsBreak) && queue.peek(now) !== undefined
    );
    const lane = ready.find(({ priority }) => service.isOwed(priority)) ??
      ready[0];
    const item = lane?.queue.peek(now);
    lane?.queue.shift(now);
    return item;
  }

  /**
   * Forgets items that no longer wait at the beginning of each lane.
   * @param now The present time.
   */
  prune(now: Instant): void {
    for (const { queue } of this.#lanes) queue.peek(now);
  }

  #lane(
    { priority, needsBreak }: Pick<LaneItem, "priority" | "needsBreak">,
  ): Lane<Item> {
    const known = this.#lanes.find((lane) =>
      lane.priority === priority && lane.needsBreak === needsBreak
    );
    if (known !== undefined) return known;
    const lane = {
      priority,
      needsBreak,
      queue: new ClassQueue<Item>(SLACK_TOKENS),
    };
    this.#lanes.push(lane);
    this.#lanes.sort((left, right) =>
      left.priority - right.priority ||
      Number(left.needsBreak) - Number(right.needsBreak)
    );
    return lane;
  }
}
