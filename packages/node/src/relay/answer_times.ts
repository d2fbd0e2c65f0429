import {
  type Duration,
  elapsed,
  type Instant,
  MAXIMUM_SUSPECT_RUN_TIME,
  milliseconds,
} from "@foxtailwind/core";

/** When the parts of the last send's answer arrived. */
export class AnswerTimes {
  #sentAt: Instant;
  #lastBytesAt: Instant;
  /** When bytes last arrived that the caller can use. */
  #progressedAt: Instant;
  #timeToHead: Duration | undefined;
  #timeToFirstByte: Duration | undefined;

  /** @param arrivedAt When the request arrived. */
  constructor(arrivedAt: Instant) {
    this.#sentAt = arrivedAt;
    this.#lastBytesAt = arrivedAt;
    this.#progressedAt = arrivedAt;
  }

  /** When the last bytes of the answer arrived. */
  get lastBytesAt(): Instant {
    return this.#lastBytesAt;
  }

  /** Time from the send to the head of a success. */
  get toHead(): Duration | undefined {
    return this.#timeToHead;
  }

  /** Time from the send to the first bytes of the body of a success. */
  get toFirstByte(): Duration | undefined {
    return this.#timeToFirstByte;
  }

  /**
   * Begins a new send.
   * @param now The present time.
   */
  beginSend(now: Instant): void {
    this.#sentAt = now;
    this.#lastBytesAt = now;
    this.#progressedAt = now;
    this.#timeToHead = undefined;
    this.#timeToFirstByte = undefined;
  }

  /**
   * Records that bytes of the answer arrived.
   * @param now The present time.
   */
  recordBytes(now: Instant): void {
    this.#lastBytesAt = now;
  }

  /** Records that the caller can use the last bytes. */
  recordProgress(): void {
    this.#progressedAt = this.#lastBytesAt;
  }

  /**
   * Records that the server is read again, now that the caller has caught up.
   * @param now The present time.
   */
  recordCaughtUp(now: Instant): void {
    this.#progressedAt = now;
  }

  /** Records that the last bytes ended the head of a success. */
  recordHead(): void {
    this.#timeToHead = elapsed(this.#sentAt, this.#lastBytesAt);
  }

  /** Records that the last bytes were the first ones of a success's body. */
  recordFirstByte(): void {
    this.#timeToFirstByte ??= elapsed(this.#sentAt, this.#lastBytesAt);
  }

  /**
   * Returns how long ago the request was last sent.
   * @param now The present time.
   * @returns The time.
   */
  sinceSend(now: Instant): Duration {
    return elapsed(this.#sentAt, now);
  }

  /**
   * Returns how long ago bytes arrived that the caller can use.
   * @param now The present time.
   * @returns The time since then, or since the send.
   */
  sinceProgress(now: Instant): Duration {
    return elapsed(this.#progressedAt, now);
  }

  /**
   * Returns how long the body of the server's answer has been arriving.
   * @param now The present time.
   * @returns The time since its first bytes, or `undefined` before them.
   */
  bodyDuration(now: Instant): Duration | undefined {
    if (this.#timeToFirstByte === undefined) return undefined;
    return milliseconds(elapsed(this.#sentAt, now) - this.#timeToFirstByte);
  }

  /**
   * Returns how long the server has been answering. Before the first bytes of
   * the body, it may have sent the head long before it began to work.
   * @param now The present time.
   * @returns The time, or `undefined` before the head of a success.
   */
  runDuration(now: Instant): Duration | undefined {
    if (this.#timeToHead === undefined) return undefined;
    return this.bodyDuration(now) ?? milliseconds(
      Math.min(
        elapsed(this.#sentAt, now) - this.#timeToHead,
        MAXIMUM_SUSPECT_RUN_TIME,
      ),
    );
  }
}
