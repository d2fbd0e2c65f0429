import { type Duration, type Instant, milliseconds } from "@foxtailwind/core";
import {
  type AnswerFraming,
  detectFraming,
  isEventStream,
} from "./answer_framing.ts";
import {
  AnswerHandler,
  type AnswerHead,
  type DataDecision,
  type HeadDecision,
} from "./backend_call.ts";
import { CallerAnswer, type NodeRefusal } from "./caller_answer.ts";
import { HeldBytes } from "./answer_memory.ts";
import { BufferedAnswer } from "./buffered_answer.ts";
import type { AnswerKind, AnswerListener } from "./answer_kind.ts";
import { AnswerTimes } from "./answer_times.ts";
import type { RelayParts } from "./relay_parts.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { EventStreamBody } from "./streams/event_stream_body.ts";

const BAD_GATEWAY = 502;
const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;
/** Statuses that promise callers that nothing has run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Forwards the answers of servers to one caller. */
export class AnswerForwarder extends AnswerHandler {
  /** When the parts of the last send's answer arrived. */
  readonly times: AnswerTimes;
  readonly #request: RoutedRequest;
  readonly #parts: RelayParts;
  readonly #answer: CallerAnswer;
  /** The answer's events, if it is a stream of them. */
  #events: EventStreamBody | undefined;
  /** Whether the answer that the caller receives is a stream of events. */
  #isBegunAsStream = false;
  /** Whether bytes were forwarded that need not end a complete event. */
  #hasForwardedPart = false;
  #answerKind: AnswerKind = "none";
  #isMisdirected = false;
  /** How the server marks the end of the answer's body. */
  #framing: AnswerFraming | undefined;
  /** An answer that isn't forwarded until it is known how it ends. */
  #bufferedAnswer: BufferedAnswer | undefined;
  readonly #heldBytes: HeldBytes;
  #lastEventId: string | undefined;
  #hasForwardedEvent = false;
  #listener: AnswerListener | undefined;

  /**
   * @param request The request.
   * @param parts The collaborators.
   */
  constructor(request: RoutedRequest, parts: RelayParts) {
    super();
    this.#request = request;
    this.#parts = parts;
    this.#answer = new CallerAnswer(
      request.response,
      parts.clients.unreadAnswers,
    );
    this.#heldBytes = new HeldBytes(parts.answerMemory);
    this.times = new AnswerTimes(request.arrivedAt);
  }

  /** What kind of answer has arrived so far. */
  get answerKind(): AnswerKind {
    return this.#answerKind;
  }

  /** Whether the head of a success was sent to the caller. */
  get hasBegun(): boolean {
    return this.#answer.hasBegun;
  }

  /** Whether the server answered with a failure. */
  get hasFailure(): boolean {
    return this.#answerKind === "failure";
  }

  /** Whether the server reports that the request was meant for another one. */
  get isMisdirected(): boolean {
    return this.#isMisdirected;
  }

  /** How the last answer's end is marked, if one arrived. */
  get framing(): AnswerFraming | undefined {
    return this.#framing;
  }

  /** Whether only the end of its connection marks the end of the answer. */
  get isUnmarked(): boolean {
    return this.#answerKind === "passed" && this.#isCloseDelimited;
  }

  /** Whether another server may continue the answer. */
  get isResumable(): boolean {
    return this.#request.route.resumable && !this.#hasForwardedPart;
  }

  /** The id of the last forwarded event, for resuming the stream. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /**
   * Resets the state of the previous answer for a new send.
   * @param now The present time.
   * @param listener Listens for what the answer tells about its server.
   */
  beginSend(now: Instant, listener: AnswerListener): void {
    this.#listener = listener;
    this.#answerKind = "none";
    this.#framing = undefined;
    this.#isMisdirected = false;
    this.#bufferedAnswer = undefined;
    this.times.beginSend(now);
    this.#events = undefined;
    this.#heldBytes.update(0);
  }

  /**
   * Returns how long the server has been silent. The bytes of a failure, or of
   * an event that doesn't end, count as silence.
   * @param now The present time.
   * @returns The time since its last bytes of use, or since the send.
   */
  silenceDuration(now: Instant): Duration {
    // Nothing is read of the server's answer until the caller catches up.
    if (this.#answer.isUnread) return milliseconds(0);
    return this.times.sinceProgress(now);
  }

  override onHead(head: AnswerHead): HeadDecision {
    const { wire } = this.#parts;
    this.#recordBytes();
    const facts = wire.readAnswer(head.status, head.headers);
    this.#framing = detectFraming(this.#request.message.method, head);
    const isForThisRequest = facts.requestId === undefined ||
      facts.requestId === this.#request.caller.id;
    // A server may repeat an earlier answer late. Nothing in it applies to this
    // request, not even a report that nothing has run.
    if (!isForThisRequest) {
      this.#answerKind = "foreign";
      return "cut";
    }
    this.#listener?.onHead(head.status, facts);
    // Servers name the request that they refuse. A refusal that names none may
    // be a late repeat of an earlier one while this request runs.
    if (facts.isNotRun && facts.requestId !== undefined) {
      this.#answerKind = "not_run";
      this.#isMisdirected = facts.isMisdirected;
      return "drop";
    }
    const isSuccess = head.status >= FIRST_SUCCESS_STATUS &&
      head.status < FIRST_REDIRECT_STATUS;
    if (!isSuccess) {
      this.#answerKind = "failure";
      this.#bufferedAnswer = new BufferedAnswer(head);
      return "take";
    }
    const isForwardable = facts.hasSeal &&
      head.headers["content-encoding"] === undefined &&
      this.#mayContinue(head);
    if (!isForwardable) {
      this.#answerKind = "foreign";
      return "cut";
    }
    this.#answerKind = "passed";
    this.times.recordHead();
    this.#beginSuccess(head);
    return "take";
  }

  override onData(bytes: Buffer): DataDecision {
    this.#recordBytes();
    const isBegin = this.#answerKind === "passed" &&
      this.times.toFirstByte === undefined;
    if (isBegin) {
      this.times.recordFirstByte();
      this.#listener?.onBegun();
    }
    const buffered = this.#bufferedAnswer;
    if (buffered !== undefined) return this.#buffer(buffered, bytes);
    const hasCapacity = this.#forward(bytes);
    this.#heldBytes.update(this.#events?.remainder.length ?? 0);
    const isTooLarge = this.#heldBytes.isExceeded ||
      this.#events?.isEventTooLarge === true;
    return isTooLarge ? "cut" : toDecision(hasCapacity);
  }

  /**
   * Why an answer that ended without an error is incomplete, if it is. A stream
   * may end in order inside an event, or before its first one. Only the rest of
   * a resumed stream may be empty.
   */
  get defect(): string | undefined {
    const events = this.#events;
    if (events === undefined) return undefined;
    if (!events.isBetweenEvents) return "The stream ended inside an event.";
    const mayBeEmpty = this.#isResumed && !this.#isCloseDelimited;
    return events.hasEvent || mayBeEmpty
      ? undefined
      : "The stream ended before its first event.";
  }

  /** Ends a success whose last bytes have arrived. */
  finish(): void {
    this.times.recordFirstByte();
    if (this.#bufferedAnswer !== undefined) {
      this.#forwardComplete(this.#bufferedAnswer);
    }
    const remainder = this.#events?.remainder;
    if (remainder?.length) this.#answer.write(remainder);
    this.#answer.end();
  }

  /** Forwards the server's own failure. */
  forwardFailure(): void {
    if (this.#bufferedAnswer === undefined) return;
    if (
      this.#bufferedAnswer.isLarge ||
      NOT_RUN_STATUSES.has(this.#bufferedAnswer.head.status)
    ) {
      this.refuse(BAD_GATEWAY, { code: "server_failure" });
      return;
    }
    this.#forwardComplete(this.#bufferedAnswer);
    this.#answer.end();
  }

  /**
   * Answers with a refusal by this node.
   * @param status The status.
   * @param refusal The refusal.
   */
  refuse(status: number, refusal: NodeRefusal): void {
    if (this.#isStopping) this.#answer.announceClose();
    this.#answer.refuse(status, refusal);
  }

  /** Aborts an incomplete answer so that it isn't taken as complete. */
  abort(): void {
    this.#answer.abort();
  }

  /** Returns the memory of what is held back, once the request has ended. */
  release(): void {
    this.#heldBytes.update(0);
  }

  #recordBytes(): void {
    const now = this.#parts.clock.now();
    this.#listener?.onBytes(now);
    this.times.recordBytes(now);
    const mayBeEndless = this.#answerKind === "failure" ||
      this.#events?.holdsIncompleteEvents === true;
    if (!mayBeEndless) this.times.recordProgress();
  }

  #buffer(buffered: BufferedAnswer, bytes: Buffer): DataDecision {
    buffered.append(bytes);
    this.#heldBytes.update(buffered.length);
    if (!buffered.isLarge && !this.#heldBytes.isExceeded) return "continue";
    // A failure that is too large is not forwarded.
    if (this.#answerKind === "failure") return "cut";
    return toDecision(this.#forwardPartial(buffered));
  }

  get #isCloseDelimited(): boolean {
    return this.#framing === "connection";
  }

  /**
   * Forwards or buffers the head. A close-delimited answer is begun only once
   * its end is known: otherwise it would look complete if this node ended, and
   * a broken one could not be requested from another server. Events can't wait.
   */
  #beginSuccess(head: AnswerHead): void {
    if (this.#hasEvents(head)) {
      const { resumable } = this.#request.route;
      this.#events = new EventStreamBody(resumable || this.#isCloseDelimited);
      this.#beginAnswer(head);
    } else if (!this.#isCloseDelimited) {
      this.#beginAnswer(head);
    } else if (!this.hasBegun) {
      this.#bufferedAnswer = new BufferedAnswer(head);
    }
  }

  #hasEvents(head: AnswerHead): boolean {
    const { route, message } = this.#request;
    return route.streams && isEventStream(message.method, head);
  }

  /** Only an answer of the same kind continues one that has begun. */
  #mayContinue(head: AnswerHead): boolean {
    return !this.hasBegun || this.#hasEvents(head) === this.#isBegunAsStream;
  }

  /** Whether the server was asked to go on after an earlier event. */
  get #isResumed(): boolean {
    return this.#request.caller.lastEventId !== undefined ||
      this.#lastEventId !== undefined;
  }

  /** Forwards what has arrived of a buffered answer, and stops buffering. */
  #forwardPartial({ head, body }: BufferedAnswer): boolean {
    this.#bufferedAnswer = undefined;
    this.#heldBytes.update(0);
    this.#beginAnswer(head);
    return this.#forward(body);
  }

  /** Forwards a buffered answer whose end, and therefore length, is known. */
  #forwardComplete({ head, body }: BufferedAnswer): void {
    this.#bufferedAnswer = undefined;
    this.#beginAnswer(head, this.#isCloseDelimited ? body.length : undefined);
    this.#answer.write(body);
  }

  #forward(bytes: Buffer): boolean {
    this.#hasForwardedPart ||= this.#events?.holdsIncompleteEvents !== true;
    if (this.#events === undefined) return this.#answer.write(bytes);
    let hasCapacity = true;
    for (const event of this.#events.push(bytes)) {
      if (!this.#hasForwardedEvent) {
        this.#listener?.onFirstEvent(this.times.lastBytesAt);
      }
      this.#hasForwardedEvent = true;
      this.times.recordProgress();
      if (event.id !== undefined) this.#lastEventId = event.id;
      hasCapacity = this.#answer.write(event.bytes);
    }
    return hasCapacity;
  }

  #beginAnswer(head: AnswerHead, length?: number): void {
    if (this.hasBegun) return;
    this.#isBegunAsStream = this.#events !== undefined;
    this.#answer.begin(head, {
      ...(length === undefined ? {} : { length }),
      dropsLength: this.#isBegunAsStream || this.#request.route.resumable,
      closesConnection: this.#isStopping,
    });
  }

  get #isStopping(): boolean {
    return this.#parts.plannedStop() !== undefined;
  }
}

function toDecision(hasCapacity: boolean): DataDecision {
  return hasCapacity ? "continue" : "pause";
}
