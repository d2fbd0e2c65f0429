const BYTES_PER_MEGABYTE = 1_048_576;
/** The share of a VM's memory that answers may use that are held back. */
const MEMORY_SHARE = 1 / 16;
/** An answer that holds back no more than this never gives way to others. */
const SMALL_HELD_BYTES = 16 * 1_024;

/**
 * Limits how much a node holds back of all servers' answers together: failures,
 * answers whose end is not known, and incomplete events.
 */
export class AnswerMemory {
  readonly #limit: number;
  #usedBytes = 0;

  /** @param vmMegabytes The memory of the VM, in megabytes. */
  constructor(vmMegabytes: number) {
    this.#limit = vmMegabytes * BYTES_PER_MEGABYTE * MEMORY_SHARE;
  }

  /** The bytes held back of all answers. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Whether more is held back than allowed. */
  get isExceeded(): boolean {
    return this.#usedBytes > this.#limit;
  }

  /**
   * Changes what is held back.
   * @param bytes The bytes that were added, or removed if it is negative.
   */
  change(bytes: number): void {
    this.#usedBytes += bytes;
  }
}

/** What is held back of one answer. */
export class HeldBytes {
  readonly #memory: AnswerMemory;
  #bytes = 0;

  /** @param memory The memory for all answers. */
  constructor(memory: AnswerMemory) {
    this.#memory = memory;
  }

  /** Whether no more may be held back, since all answers use too much memory. */
  get isExceeded(): boolean {
    return this.#bytes > SMALL_HELD_BYTES && this.#memory.isExceeded;
  }

  /**
   * Records what is held back now.
   * @param bytes The number of bytes.
   */
  update(bytes: number): void {
    this.#memory.change(bytes - this.#bytes);
    this.#bytes = bytes;
  }
}
