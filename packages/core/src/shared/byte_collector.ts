const EMPTY = Buffer.alloc(0);
/** The growth of the storage that doesn't suffice. */
const GROWTH_FACTOR = 2;

/**
 * Collects bytes that arrive in pieces. It copies them into one storage, so that
 * it uses memory in proportion to the bytes, however small the pieces are, and
 * keeps no buffer alive that a piece is part of.
 */
export class ByteCollector {
  #storage: Buffer = EMPTY;
  #length = 0;

  /** The number of bytes collected. */
  get length(): number {
    return this.#length;
  }

  /** The bytes collected. They stay as they are when others are appended. */
  get bytes(): Buffer {
    return this.#storage.subarray(0, this.#length);
  }

  /**
   * Appends a copy of bytes.
   * @param bytes The next bytes.
   */
  append(bytes: Buffer): void {
    const length = this.#length + bytes.length;
    if (length > this.#storage.length) this.#grow(length);
    bytes.copy(this.#storage, this.#length);
    this.#length = length;
  }

  /** Discards the bytes. */
  clear(): void {
    this.#storage = EMPTY;
    this.#length = 0;
  }

  #grow(length: number): void {
    const isFirst = this.#length === 0;
    const capacity = isFirst
      ? length
      : Math.max(length, this.#storage.length * GROWTH_FACTOR);
    const storage = Buffer.allocUnsafeSlow(capacity);
    this.bytes.copy(storage);
    this.#storage = storage;
  }
}
