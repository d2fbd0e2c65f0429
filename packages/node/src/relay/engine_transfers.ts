import {
  type AdapterName,
  type AdapterSlot,
  type Duration,
  elapsed,
  type Instant,
  keyOf,
  type TransferWaiter,
  type TransferWindow,
} from "@foxtailwind/core";

/** What one engine brings from the weight store, by its node's window. */
export class EngineTransfers implements TransferWaiter {
  readonly #window: TransferWindow;
  readonly #begunAt = new Map<string, Instant>();
  readonly wake: () => void;

  /**
   * @param window Bounds the transfers of all engines of this node.
   * @param wake Called where a transfer may begin that could not.
   */
  constructor(window: TransferWindow, wake: () => void) {
    this.#window = window;
    this.wake = wake;
  }

  /** Whether a further transfer may begin. */
  get isOpen(): boolean {
    return this.#window.isOpen;
  }

  /**
   * Estimates how long a further adapter takes.
   * @param now The present time.
   * @returns The time.
   */
  expected(now: Instant): Duration {
    return this.#window.expected(now);
  }

  /**
   * Waits until a transfer may begin.
   * @param wantedBy When its request is wanted.
   */
  wait(wantedBy: Instant): void {
    this.#window.wait(this, wantedBy);
  }

  /**
   * Takes note that a transfer begins.
   * @param now The present time.
   * @param name The adapter.
   */
  begin(now: Instant, name: AdapterName): void {
    const key = keyOf(name);
    if (this.#begunAt.has(key)) return;
    this.#begunAt.set(key, now);
    this.#window.begin();
  }

  /**
   * Takes note that an adapter has come.
   * @param now The present time.
   * @param name The adapter.
   */
  loaded(now: Instant, name: AdapterName): void {
    const begunAt = this.#begunAt.get(keyOf(name));
    if (begunAt === undefined) return;
    this.#begunAt.delete(keyOf(name));
    this.#window.ended(now, elapsed(begunAt, now));
  }

  /**
   * Ends the transfers that are not under way, by what the engine says.
   * @param slots The adapters that take a slot.
   */
  retain(slots: readonly AdapterSlot[]): void {
    const loading = slots.filter((slot) => slot.state === "loading");
    const kept = new Set(loading.map(keyOf));
    for (const key of this.#begunAt.keys()) {
      if (kept.has(key)) continue;
      this.#begunAt.delete(key);
      this.#window.left();
    }
  }
}
