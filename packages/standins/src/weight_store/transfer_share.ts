interface Transfer {
  remainingBytes: number;
  readonly finish: () => void;
}

/** The speed at which transfers go. */
export interface TransferSpeed {
  /** Bytes a millisecond of one transfer at full speed. */
  readonly bytesPerMillisecond: number;
  /** How many go at full speed at once; more share that speed. */
  readonly concurrentAtFullSpeed: number;
}

/** Shares the store's speed among the transfers in progress. */
export class TransferShare {
  readonly #speed: TransferSpeed;
  readonly #transfers = new Set<Transfer>();
  #updatedAt = 0;

  /** @param speed The speed. */
  constructor(speed: TransferSpeed) {
    this.#speed = speed;
  }

  /** How many transfers are in progress. */
  get active(): number {
    return this.#transfers.size;
  }

  /**
   * Starts a transfer.
   * @param bytes Its size.
   * @param options The time, and what to do when it is whole.
   * @returns Stops the transfer, at a time.
   */
  start(
    bytes: number,
    options: { readonly now: number; readonly finish: () => void },
  ): (now: number) => void {
    this.advance(options.now);
    const transfer = { remainingBytes: bytes, finish: options.finish };
    this.#transfers.add(transfer);
    return (now) => {
      this.advance(now);
      this.#transfers.delete(transfer);
    };
  }

  /**
   * Moves all transfers on to a time and finishes those that are whole.
   * @param now Milliseconds of a steady clock.
   */
  advance(now: number): void {
    while (this.#transfers.size > 0) {
      const next = this.nextFinish();
      if (next === undefined || next > now) break;
      this.#move(next);
      this.#finishWhole();
    }
    this.#move(now);
  }

  /**
   * Foretells the next finish, if nothing else starts or stops.
   * @returns Its time, or `undefined` where no transfer is in progress.
   */
  nextFinish(): number | undefined {
    if (this.#transfers.size === 0) return undefined;
    let least = Infinity;
    for (const { remainingBytes } of this.#transfers) {
      least = Math.min(least, remainingBytes);
    }
    return this.#updatedAt + least / this.#bytesPerMillisecond();
  }

  #move(now: number): void {
    const bytes = Math.max(0, now - this.#updatedAt) *
      this.#bytesPerMillisecond();
    for (const transfer of this.#transfers) transfer.remainingBytes -= bytes;
    this.#updatedAt = Math.max(this.#updatedAt, now);
  }

  #finishWhole(): void {
    for (const transfer of [...this.#transfers]) {
      if (transfer.remainingBytes > WHOLE_WITHIN_BYTES) continue;
      this.#transfers.delete(transfer);
      transfer.finish();
    }
  }

  #bytesPerMillisecond(): number {
    const { bytesPerMillisecond, concurrentAtFullSpeed } = this.#speed;
    const crowd = Math.max(1, this.#transfers.size / concurrentAtFullSpeed);
    return bytesPerMillisecond / crowd;
  }
}

/** Absorbs the rounding of times, so that no transfer lingers. */
const WHOLE_WITHIN_BYTES = 1;
