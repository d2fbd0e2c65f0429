import type { EngineId, Instant, LoadWish } from "@foxtailwind/core";
import type { LoadPermits } from "./load_permits.ts";

/** Unchanged wishes are told again so often, since they grow more urgent. */
const REFRESH_INTERVAL_MILLISECONDS = 200;

/** Offers an engine's wishes, and spares messages that say nothing new. */
export class WishPublisher {
  readonly #engine: EngineId;
  readonly #permits: LoadPermits;
  #publishedKeys = "";
  #publishedAt = -Infinity;

  /** @param parts The engine, and whom to offer to. */
  constructor(
    parts: { readonly engine: EngineId; readonly permits: LoadPermits },
  ) {
    this.#engine = parts.engine;
    this.#permits = parts.permits;
  }

  /**
   * Offers wishes.
   * @param now The present time.
   * @param wishes The most urgent ones.
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
