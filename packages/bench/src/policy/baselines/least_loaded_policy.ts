import type { QueuedRequest } from "@foxtailwind/core";
import type { EngineBook } from "./engine_book.ts";
import { FirstComePolicy } from "./first_come_policy.ts";

/** Sends each request to the engine with the least work for its size. */
export class LeastLoadedPolicy extends FirstComePolicy {
  protected override route(
    _queued: QueuedRequest,
    books: readonly EngineBook[],
  ): EngineBook | undefined {
    return leastLoaded(books);
  }
}

/**
 * Finds the engine with the least work, relative to its batch.
 * @param books The engines to choose among.
 * @returns The least loaded one's book, or nothing where there is none.
 */
export function leastLoaded(
  books: readonly EngineBook[],
): EngineBook | undefined {
  let best: EngineBook | undefined;
  let bestLoad = Infinity;
  for (const book of books) {
    const work = book.running.size + book.queue.length;
    const load = work / book.capacity.batchCapacity;
    if (load >= bestLoad) continue;
    best = book;
    bestLoad = load;
  }
  return best;
}
