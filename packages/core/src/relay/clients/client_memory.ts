import { assertInvariant } from "../../shared/mod.ts";
import type { ClientLimits } from "./client_limits.ts";

/** Who asks for memory. */
export type MemoryClass =
  /** May use all of the memory. */
  | "small"
  /** Leaves a part of the memory to small requests. */
  | "large";

/** Counts the memory that a node uses for its callers. */
export class ClientMemory {
  readonly #limits: ClientLimits;
  #usedBytes = 0;

  /** @param limits The limits. */
  constructor(limits: ClientLimits) {
    this.#limits = limits;
  }

  /** The memory in use, in bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Whether more is in use than small requests alone may add to. */
  get isExceeded(): boolean {
    const { bytes, smallRequestBytes } = this.#limits;
    return this.#usedBytes > bytes - smallRequestBytes;
  }

  /**
   * Takes memory, if it is available.
   * @param bytes How much.
   * @param memoryClass Who asks for it.
   * @returns Whether it was taken.
   */
  tryTake(bytes: number, memoryClass: MemoryClass): boolean {
    const reserve = memoryClass === "large"
      ? this.#limits.smallRequestBytes
      : 0;
    if (this.#usedBytes + bytes > this.#limits.bytes - reserve) return false;
    this.#usedBytes += bytes;
    return true;
  }

  /**
   * Counts memory that is in use already, also if that exceeds the limit.
   * @param bytes How much.
   */
  record(bytes: number): void {
    this.#usedBytes += bytes;
  }

  /**
   * Returns memory.
   * @param bytes How much.
   */
  release(bytes: number): void {
    this.#usedBytes -= bytes;
    assertInvariant(
      this.#usedBytes >= 0,
      "client memory is returned once",
      () => `${this.#usedBytes} bytes are in use`,
    );
  }
}
