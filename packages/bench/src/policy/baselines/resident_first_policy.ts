import { adapterKey, type QueuedRequest } from "@foxtailwind/core";
import type { EngineBook } from "./engine_book.ts";
import { FirstComePolicy } from "./first_come_policy.ts";
import { leastLoaded } from "./least_loaded_policy.ts";

/**
 * Sends each request to the least loaded engine among those that hold its
 * adapter, or among all where none does.
 */
export class ResidentFirstPolicy extends FirstComePolicy {
  protected override route(
    queued: QueuedRequest,
    books: readonly EngineBook[],
  ): EngineBook | undefined {
    const key = adapterKey(queued.adapter);
    const holders = books.filter((book) => holds(book, key));
    return leastLoaded(holders.length > 0 ? holders : books);
  }
}

function holds(book: EngineBook, key: ReturnType<typeof adapterKey>): boolean {
  const state = book.adapters.get(key)?.state;
  return state === "loading" || state === "resident";
}
