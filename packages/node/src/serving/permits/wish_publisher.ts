import type { EngineId, Instant, LoadWish } from "@foxtailwind/core";
import type { LoadPermits } from "./load_permits.ts";

/**
 * The interval at which unchanged wishes are repeated, since their urgency
 * grows.
 */
const REFRESH_INTERVAL_MILLISECONDS = 200;

/** Publishes an engine's wishes, without redundant messages. */
export class WishPublisher {
  readonly #engine: EngineId;
  readonly #permits: LoadPermits;
  #publishedKeys = "";
  #publishedAt = -Infinity;

  /** @param parts The engine, and the receiver of its wishes. */
  constructor(
    parts: { readonly engine: EngineId; readonly permits: LoadPermits },
  ) {
    this.#engine = parts.engine;
    this.#permits = parts.permits;
  }

  /**
   * Publishes wishes, unless they were published recently.
   * @param now The present time.
   * @param wishes The most urgent wishes.
   */
  publish(now: Instant, wishes: readonly LoadWish[]): void {
    const keys = wishes.map((wish) => wish.key).join(" ");
    const isFresh = now < this.#publishedAt + REFRESH_INTERVAL_MILLISECONDS;
    if (keys === this.#publishedKeys && (isFresh || keys === "")) return;
    this.#publishedKeys = keys;
    this.#publishedAt = now;
    this.#permits.setWishes(this.#engine, wishes);
  }
}
