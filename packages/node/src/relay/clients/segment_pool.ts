/** The length of a segment, in bytes. */
export const SEGMENT_BYTES = 16 * 1_024;
/** The most unused segments that are kept: 4 MB. */
const MAXIMUM_UNUSED_SEGMENTS = 256;

/**
 * Provides the segments in which bodies are received. They are reused, since the
 * garbage collector frees buffers late. Nothing outside of the receiver of a
 * body may refer to them.
 */
export class SegmentPool {
  readonly #unused: Buffer[] = [];

  /**
   * Provides a segment. Its contents are undefined.
   * @returns The segment.
   */
  take(): Buffer {
    return this.#unused.pop() ?? Buffer.allocUnsafeSlow(SEGMENT_BYTES);
  }

  /**
   * Takes segments back.
   * @param segments The segments.
   */
  release(segments: readonly Buffer[]): void {
    const room = MAXIMUM_UNUSED_SEGMENTS - this.#unused.length;
    this.#unused.push(...segments.slice(0, room));
  }
}
