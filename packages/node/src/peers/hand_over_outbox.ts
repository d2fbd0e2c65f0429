import type { AdapterReference, GenerationFrame } from "@foxtailwind/edges";
import { type RequestId, sameAdapter } from "@foxtailwind/core";
import type { Answer, Frame, ToEntry } from "@foxtailwind/protocol";

/** What an outbox writes to. */
export interface BatchWriter {
  /**
   * Writes a batch.
   * @returns Whether the peer keeps up; if not, {@link HandOverOutbox.drained}
   * follows.
   */
  write(batch: ToEntry): boolean;
}

/** What the entry node knows of a lane without being told again. */
export interface LaneState {
  readonly request: RequestId;
  /** The adapter that the frame before named. */
  readonly adapter: AdapterReference | undefined;
}

/** Gathers the answers of one turn of the loop into one message. */
export class HandOverOutbox {
  readonly #writer: BatchWriter;
  readonly #onBlocked: (blocked: boolean) => void;
  readonly #extendableFrames = new Map<number, Frame>();
  #answers: Answer[] = [];
  #scheduled = false;
  #blocked = false;

  /**
   * @param writer Takes the batches.
   * @param onBlocked Learns when the peer stops or goes on keeping up.
   */
  constructor(writer: BatchWriter, onBlocked: (blocked: boolean) => void) {
    this.#writer = writer;
    this.#onBlocked = onBlocked;
  }

  /** Whether the peer does not keep up at present. */
  get blocked(): boolean {
    return this.#blocked;
  }

  /**
   * Adds a frame; one that goes on where the last one of its lane ended is
   * joined to it.
   * @param lane The lane.
   * @param frame The frame.
   * @param known What the entry node knows of the lane.
   */
  pushFrame(lane: number, frame: GenerationFrame, known: LaneState): void {
    const { adapter, request } = known;
    const isOwn = frame.request === request;
    const changed = adapter === undefined ||
      !sameAdapter(adapter, frame.adapter);
    const last = this.#extendableFrames.get(lane);
    const joins = last !== undefined && isOwn && !changed;
    if (joins && isContinuation(last, frame)) {
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

  /** The peer keeps up again. */
  drained(): void {
    if (!this.#blocked) return;
    this.#blocked = false;
    if (this.flush()) this.#onBlocked(false);
  }

  /**
   * Writes what is gathered.
   * @returns Whether the peer keeps up.
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
