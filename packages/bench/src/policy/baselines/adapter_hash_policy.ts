import {
  adapterKey,
  type QueuedRequest,
  rendezvousChoice,
} from "@foxtailwind/core";
import type { EngineBook } from "./engine_book.ts";
import { FirstComePolicy } from "./first_come_policy.ts";

/** Sends each request to the one engine that its adapter hashes to. */
export class AdapterHashPolicy extends FirstComePolicy {
  protected override route(
    queued: QueuedRequest,
    books: readonly EngineBook[],
  ): EngineBook | undefined {
    const home = rendezvousChoice(
      adapterKey(queued.adapter),
      books.map((book) => book.engine),
    );
    return books.find((book) => book.engine === home);
  }
}
