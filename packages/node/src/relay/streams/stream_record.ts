import {
  type Instant,
  type StreamSource,
  StreamSources,
} from "@foxtailwind/core";

/** What a node has learned of the record of software that begins streams. */
export type StreamRecordState =
  /** Nothing: it has not read the log. */
  | "unread"
  /** The log shows no earlier run of any node. */
  | "new"
  /** The log came back from an older copy, which may lack some of it. */
  | "unconfirmed"
  | "confirmed";

/** The software that may have begun streams, as far as a node has read it. */
export class StreamRecord {
  readonly sources = new StreamSources();
  #state: StreamRecordState = "unread";
  #hasNodeRecords = false;
  #restoredAt: Instant | undefined;
  /** Called when it was read, or its state has changed. */
  onRead: () => void = () => undefined;

  /** What the log says of it. */
  get state(): StreamRecordState {
    return this.#state;
  }

  /** When the log last came back from an older copy, if this run saw it. */
  get restoredAt(): Instant | undefined {
    return this.#restoredAt;
  }

  /**
   * Applies a listing of the log.
   * @param now The present time.
   * @param sources The software that the log holds.
   * @param isConfirmed Whether a node has confirmed that none is missing.
   */
  list(
    now: Instant,
    sources: readonly StreamSource[],
    isConfirmed: boolean,
  ): void {
    this.sources.list(now, sources);
    if (isConfirmed) {
      this.confirm();
      return;
    }
    const isNew = this.#state === "unread" && sources.length === 0 &&
      !this.#hasNodeRecords;
    this.#state = isNew ? "new" : "unconfirmed";
    this.onRead();
  }

  /** Records that no software is missing. */
  confirm(): void {
    this.#state = "confirmed";
    this.sources.recordComplete();
    this.onRead();
  }

  /** Records that the log names a node, which may have begun streams. */
  recordNode(): void {
    this.#hasNodeRecords = true;
    if (this.#state !== "new") return;
    this.#state = "unconfirmed";
    this.onRead();
  }

  /**
   * Records that the log came back from an older copy.
   * @param now The present time.
   */
  recordRestore(now: Instant): void {
    this.#restoredAt = now;
  }
}
