import { elapsed, type Instant, type RequestId } from "../../shared/mod.ts";
import { STREAM_RETENTION, type StreamOrigin } from "./stream_origin.ts";

/** The most streams that are remembered. */
const MAXIMUM_ORIGINS = 20_000;
/** Longer ids, which callers choose, are not remembered. */
const MAXIMUM_ID_LENGTH = 128;

/** What began recent streams, by the attempts that brought their first event. */
export class StreamOrigins {
  /** In the order in which they were added. */
  readonly #origins = new Map<RequestId, StreamOrigin>();

  /** The number of streams that are remembered. */
  get size(): number {
    return this.#origins.size;
  }

  /**
   * Remembers what began a stream, and forgets the oldest streams. An attempt
   * that is known already keeps its first origin.
   * @param now The present time.
   * @param origin What began the stream.
   */
  add(now: Instant, origin: StreamOrigin): void {
    if (origin.attempt.length > MAXIMUM_ID_LENGTH) return;
    this.#expire(now);
    if (this.#origins.has(origin.attempt)) return;
    this.#origins.set(origin.attempt, origin);
  }

  /**
   * Finds what began a stream.
   * @param attempt The caller's attempt that brought the first event.
   * @returns The origin, or `undefined` if it is not known.
   */
  find(attempt: RequestId): StreamOrigin | undefined {
    return this.#origins.get(attempt);
  }

  #expire(now: Instant): void {
    for (const [attempt, { begunAt }] of this.#origins) {
      const isKept = this.#origins.size < MAXIMUM_ORIGINS &&
        elapsed(begunAt, now) < STREAM_RETENTION;
      if (isKept) break;
      this.#origins.delete(attempt);
    }
  }
}
