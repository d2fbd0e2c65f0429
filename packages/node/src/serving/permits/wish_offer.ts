import type { EngineId, Instant, LoadWish } from "@foxtailwind/core";
import type { LoadPermits } from "./load_permits.ts";

/** Unchanged wishes are told again so often, since they grow more urgent. */
const REFRESH_MILLISECONDS = 200;

/** Offers an engine's wishes, and spares messages that say nothing new. */
export class WishOffer {
  readonly #engine: EngineId;
  readonly #permits: LoadPermits;
  #keys = "";
  #offeredAt = -Infinity;

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
  offer(now: Instant, wishes: readonly LoadWish[]): void {
    const keys = wishes.map((wish) => wish.key).join(" ");
    const isFresh = now < this.#offeredAt + REFRESH_MILLISECONDS;
    if (keys === this.#keys && (isFresh || keys === "")) return;
    this.#keys = keys;
    this.#offeredAt = now;
    this.#permits.offer(this.#engine, wishes);
  }
}
