interface Transfer {
  remainingBytes: number;
  readonly onComplete: () => void;
}

/** The speed limits of transfers. */
export interface TransferLimits {
  /** The full speed of one transfer. */
  readonly bytesPerMillisecond: number;
  /**
   * The number of transfers that can run at full speed at once. More transfers
   * share the total speed of that many.
   */
  readonly concurrentAtFullSpeed: number;
}

/** Distributes the store's speed evenly over the transfers in progress. */
export class TransferScheduler {
  readonly #limits: TransferLimits;
  readonly #transfers = new Set<Transfer>();
  #updatedAt = 0;

  /** @param limits The speed limits. */
  constructor(limits: TransferLimits) {
    this.#limits = limits;
  }

  /** The number of transfers in progress. */
  get activeTransfers(): number {
    return this.#transfers.size;
  }

  /**
   * Starts a transfer.
   * @param bytes The size of the transfer.
   * @param options The time and the callback for its completion.
   * @returns A function that stops the transfer at a given time.
   */
  start(
    bytes: number,
    options: { readonly now: number; readonly onComplete: () => void },
  ): (now: number) => void {
    this.advance(options.now);
    const transfer = { remainingBytes: bytes, onComplete: options.onComplete };
    this.#transfers.add(transfer);
    return (now) => {
      this.advance(now);
      this.#transfers.delete(transfer);
    };
  }

  /**
   * Advances all transfers to a time and completes those that are done.
   * @param now A monotonic clock reading in milliseconds.
   */
  advance(now: number): void {
    while (this.#transfers.size > 0) {
      const nextCompletion = this.nextCompletionAt();
      if (nextCompletion === undefined || nextCompletion > now) break;
      this.#updateRemainingBytes(nextCompletion);
      this.#completeTransfers();
    }
    this.#updateRemainingBytes(now);
  }

  /**
   * Predicts the next completion if no transfer starts or stops before it.
   * @returns Its time, or `undefined` if no transfer is in progress.
   */
  nextCompletionAt(): number | undefined {
    if (this.#transfers.size === 0) return undefined;
    let fewestBytes = Infinity;
    for (const { remainingBytes } of this.#transfers) {
      fewestBytes = Math.min(fewestBytes, remainingBytes);
    }
    return this.#updatedAt + fewestBytes / this.#currentBytesPerMillisecond();
  }

  #updateRemainingBytes(now: number): void {
    const bytes = Math.max(0, now - this.#updatedAt) *
      this.#currentBytesPerMillisecond();
    for (const transfer of this.#transfers) transfer.remainingBytes -= bytes;
    this.#updatedAt = Math.max(this.#updatedAt, now);
  }

  #completeTransfers(): void {
    for (const transfer of [...this.#transfers]) {
      if (transfer.remainingBytes > COMPLETION_TOLERANCE_BYTES) continue;
      this.#transfers.delete(transfer);
      transfer.onComplete();
    }
  }

  #currentBytesPerMillisecond(): number {
    const { bytesPerMillisecond, concurrentAtFullSpeed } = this.#limits;
    const slowdown = Math.max(1, this.#transfers.size / concurrentAtFullSpeed);
    return bytesPerMillisecond / slowdown;
  }
}

/**
 * A transfer with this many bytes left counts as complete. This absorbs the
 * rounding of times, so that no transfer stays in progress.
 */
const COMPLETION_TOLERANCE_BYTES = 1;
