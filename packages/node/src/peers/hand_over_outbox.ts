import type { AdapterReference, GenerationFrame } from "@foxtailwind/edges";
import { type RequestId, sameAdapter } from "@foxtailwind/core";
import type { Answer, Frame, ToEntry } from "@foxtailwind/protocol";

/** The destination of an outbox. */
export interface BatchWriter {
  /**
   * Writes a batch.
   * @returns Whether more may be written at once; if not,
   * {@link HandOverOutbox.drained} must be called once it may.
   */
  write(batch: ToEntry): boolean;
}

/** The state of a lane that the entry node already knows. */
export interface LaneState {
  readonly request: RequestId;
  /** The adapter of the previous frame. */
  readonly adapter: AdapterReference | undefined;
}

/** Batches the answers of one event loop turn into one message. */
export class HandOverOutbox {
  readonly #writer: BatchWriter;
  readonly #onBlocked: (blocked: boolean) => void;
  readonly #extendableFrames = new Map<number, Frame>();
  #answers: Answer[] = [];
  #scheduled = false;
  #blocked = false;

  /**
   * @param writer Receives the batches.
   * @param onBlocked Called when the writer becomes blocked or unblocked.
   */
  constructor(writer: BatchWriter, onBlocked: (blocked: boolean) => void) {
    this.#writer = writer;
    this.#onBlocked = onBlocked;
  }

  /** Whether the writer currently waits for the peer to drain it. */
  get blocked(): boolean {
    return this.#blocked;
  }

  /**
   * Adds a frame, merged into the last frame of its lane if it continues that
   * frame.
   * @param lane The lane.
   * @param frame The frame.
   * @param known The state of the lane that the entry node already knows.
   */
  pushFrame(lane: number, frame: GenerationFrame, known: LaneState): void {
    const { adapter, request } = known;
    const isOwn = frame.request === request;
    const changed = adapter === undefined ||
      !sameAdapter(adapter, frame.adapter);
    const last = this.#extendableFrames.get(lane);
    const canMerge = last !== undefined && isOwn && !changed;
    if (canMerge && isContinuation(last, frame)) {
      last.tokens.push(...frame.tokens);
      return;
    }
    const message: Frame = {
      sequence: frame.sequence,
      tokens: [...frame.tokens],
      attempt: frame.attempt,
      adapter: changed ? frame.adapter : undefined,
      request: isOwn ? "" : frame.request,
    };
    if (isOwn) this.#extendableFrames.set(lane, message);
    else this.#extendableFrames.delete(lane);
    this.push({ lane, part: { $case: "frame", value: message } });
  }

  /**
   * Adds an answer.
   * @param answer The answer.
   */
  push(answer: Answer): void {
    this.#answers.push(answer);
    if (this.#scheduled || this.#blocked) return;
    this.#scheduled = true;
    setImmediate(() => {
      this.#scheduled = false;
      this.flush();
    });
  }

  /** Resumes writing after the peer has drained the writer. */
  drained(): void {
    if (!this.#blocked) return;
    this.#blocked = false;
    if (this.flush()) this.#onBlocked(false);
  }

  /**
   * Writes the pending answers.
   * @returns Whether more may be written at once.
   */
  flush(): boolean {
    if (this.#answers.length === 0) return true;
    const answers = this.#answers;
    this.#answers = [];
    this.#extendableFrames.clear();
    if (this.#writer.write({ ready: false, closing: false, answers })) {
      return true;
    }
    this.#blocked = true;
    this.#onBlocked(true);
    return false;
  }
}

function isContinuation(last: Frame, frame: GenerationFrame): boolean {
  return last.attempt === frame.attempt &&
    last.sequence + last.tokens.length === frame.sequence;
}
