import {
  type Duration,
  elapsed,
  EventSplitter,
  type Instant,
  milliseconds,
} from "@foxtailwind/core";
import {
  type AnswerFraming,
  framingOf,
  mayBeEvents,
} from "./answer_framing.ts";
import {
  type AnswerHead,
  AnswerTaker,
  type HeadVerdict,
} from "./backend_call.ts";
import { CallerAnswer, type OwnRefusal } from "./caller_answer.ts";
import { KeptAnswer } from "./kept_answer.ts";
import type { PassageListener, PassageVerdict } from "./passage_verdict.ts";
import type { RelayParts } from "./relay_parts.ts";
import type { ReadRequest } from "./read_request.ts";

const BAD_GATEWAY = 502;
const SUCCESSES_FROM = 200;
const REDIRECTS_FROM = 300;
/** Statuses that promise that nothing has run. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Passes the answers of servers on to one caller. */
export class AnswerPassage extends AnswerTaker {
  readonly #request: ReadRequest;
  readonly #parts: RelayParts;
  readonly #answer: CallerAnswer;
  /** Set where an event that is cut off must not be passed on. */
  #splitter: EventSplitter | undefined;
  #verdict: PassageVerdict = "none";
  #isMisdirected = false;
  /** How the server tells the end of its answer's body. */
  #framing: AnswerFraming | undefined;
  /** What is not passed on until it is known how it ends. */
  #kept: KeptAnswer | undefined;
  #lastEventId: string | undefined;
  #sentAt: Instant;
  #heardAt: Instant;
  #firstAfter: Duration | undefined;
  #listener: PassageListener | undefined;

  /**
   * @param request The request.
   * @param parts What it works with.
   */
  constructor(request: ReadRequest, parts: RelayParts) {
    super();
    this.#request = request;
    this.#parts = parts;
    this.#answer = new CallerAnswer(request.response);
    this.#splitter = request.route.resumable ? new EventSplitter() : undefined;
    this.#sentAt = request.arrivedAt;
    this.#heardAt = request.arrivedAt;
  }

  /** What came of the answer so far. */
  get verdict(): PassageVerdict {
    return this.#verdict;
  }

  /** Whether the caller has got the head of a success. */
  get hasBegun(): boolean {
    return this.#answer.hasBegun;
  }

  /** Whether a failure of the server is kept. */
  get hasFailure(): boolean {
    return this.#verdict === "failure";
  }

  /** Whether the server says that it is not the one that was meant. */
  get isMisdirected(): boolean {
    return this.#isMisdirected;
  }

  /** How the last server framed its answer, where one came. */
  get framing(): AnswerFraming | undefined {
    return this.#framing;
  }

  /** From the send to the first bytes of the body. */
  get firstAfter(): Duration | undefined {
    return this.#firstAfter;
  }

  /**
   * Tells for how long the server's answer has come.
   * @param now The present time.
   * @returns The time since its first bytes, or nothing before them.
   */
  ranFor(now: Instant): Duration | undefined {
    if (this.#firstAfter === undefined) return undefined;
    return milliseconds(elapsed(this.#sentAt, now) - this.#firstAfter);
  }

  /** The last event that was passed on, where the stream may be resumed. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /**
   * Begins to wait for an answer to a send.
   * @param now The present time.
   * @param listener Told of what comes.
   */
  begin(now: Instant, listener: PassageListener): void {
    this.#listener = listener;
    this.#verdict = "none";
    this.#framing = undefined;
    this.#isMisdirected = false;
    this.#kept = undefined;
    this.#sentAt = now;
    this.#heardAt = now;
    this.#firstAfter = undefined;
    this.#splitter?.reset();
  }

  /**
   * Tells how long the server has been silent.
   * @param now The present time.
   * @returns The time.
   */
  silence(now: Instant): Duration {
    return elapsed(this.#heardAt, now);
  }

  override head(head: AnswerHead): HeadVerdict {
    const { wire } = this.#parts;
    this.#noteBytes();
    const facts = wire.readAnswer(head.status, head.headers);
    this.#framing = framingOf(this.#request.message.method, head);
    const isOwn = facts.requestId === undefined ||
      facts.requestId === this.#request.caller.id;
    // A server may repeat an earlier answer late: whatever that says, even
    // that nothing has run, it does not say of this request.
    if (!isOwn) {
      this.#verdict = "foreign";
      return "cut";
    }
    if (facts.requestLimit !== undefined || facts.isAttested) {
      this.#listener?.named(facts.requestLimit);
    }
    // Servers name the request that they refuse. What names none may be a late
    // repeat of an earlier refusal while this request runs.
    if (facts.notRun && facts.requestId !== undefined) {
      this.#verdict = "not_run";
      this.#isMisdirected = facts.isMisdirected;
      return "drop";
    }
    const isSuccess = head.status >= SUCCESSES_FROM &&
      head.status < REDIRECTS_FROM;
    if (!isSuccess) {
      this.#verdict = "failure";
      this.#kept = new KeptAnswer(head);
      return "take";
    }
    const isWhole = facts.isAttested &&
      head.headers["content-encoding"] === undefined;
    if (!isWhole) {
      this.#verdict = "foreign";
      return "cut";
    }
    this.#verdict = "passed";
    this.#beginSuccess(head);
    return "take";
  }

  override data(bytes: Buffer): boolean {
    this.#noteBytes();
    if (this.#verdict === "passed") {
      this.#firstAfter ??= elapsed(this.#sentAt, this.#heardAt);
    }
    if (this.#kept === undefined) return this.#pass(bytes);
    const isFailure = this.#verdict === "failure";
    // A failure that is too large is not passed on.
    if (isFailure && this.#kept.isLarge) return true;
    this.#kept.add(bytes);
    return isFailure || !this.#kept.isLarge || this.#passBegun(this.#kept);
  }

  /**
   * Whether an answer whose connection ended in order may be called whole:
   * not where that end cut an event off.
   */
  get isKnownWhole(): boolean {
    const rest = this.#splitter?.remainder.length ?? 0;
    return !this.#isOpenEnded || rest === 0;
  }

  /** Ends a success whose last bytes have come. */
  finish(): void {
    this.#firstAfter ??= elapsed(this.#sentAt, this.#heardAt);
    if (this.#kept !== undefined) this.#passWhole(this.#kept);
    const rest = this.#splitter?.remainder;
    if (rest !== undefined && rest.length > 0) this.#answer.write(rest);
    this.#answer.end();
  }

  /** Passes the server's own failure on. */
  passFailure(): void {
    if (this.#kept === undefined) return;
    if (this.#kept.isLarge || PROMISES.has(this.#kept.head.status)) {
      this.refuse(BAD_GATEWAY, { refusal: "server_failure" });
      return;
    }
    this.#passWhole(this.#kept);
    this.#answer.end();
  }

  /**
   * Refuses in the node's own words.
   * @param status The status.
   * @param own What to say.
   */
  refuse(status: number, own: OwnRefusal): void {
    if (this.#isStopping) this.#answer.makeLast();
    this.#answer.refuse(status, own);
  }

  /** Ends an answer that can't be completed, so that it doesn't look whole. */
  breakOff(): void {
    this.#answer.breakOff();
  }

  #noteBytes(): void {
    this.#heardAt = this.#parts.clock.now();
    this.#listener?.heard(this.#heardAt);
  }

  get #isOpenEnded(): boolean {
    return this.#framing === "connection";
  }

  /**
   * Passes the head on, or keeps it: an answer without a length is begun only
   * once its end is known, so that no end of this node's own can make it look
   * whole, and a broken one may still be had elsewhere. Events can't wait.
   */
  #beginSuccess(head: AnswerHead): void {
    if (!this.#isOpenEnded) {
      this.#beginAnswer(head);
      return;
    }
    if (this.#request.route.streams && mayBeEvents(head)) {
      this.#splitter ??= new EventSplitter();
      this.#beginAnswer(head);
    } else if (!this.hasBegun) {
      this.#kept = new KeptAnswer(head);
    }
  }

  /** Passes on what has come of a kept answer, and no longer keeps it. */
  #passBegun({ head, body }: KeptAnswer): boolean {
    this.#kept = undefined;
    this.#beginAnswer(head);
    return this.#pass(body);
  }

  /** Passes on a kept answer whose end is known, and so is its length. */
  #passWhole({ head, body }: KeptAnswer): void {
    this.#kept = undefined;
    this.#beginAnswer(head, this.#isOpenEnded ? body.length : undefined);
    this.#answer.write(body);
  }

  #pass(bytes: Buffer): boolean {
    if (this.#splitter === undefined) return this.#answer.write(bytes);
    let isOpen = true;
    for (const event of this.#splitter.push(bytes)) {
      if (event.id !== undefined) this.#lastEventId = event.id;
      isOpen = this.#answer.write(event.bytes);
    }
    return isOpen;
  }

  #beginAnswer(head: AnswerHead, length?: number): void {
    if (this.hasBegun) return;
    this.#answer.begin(head, {
      ...(length === undefined ? {} : { length }),
      isResumable: this.#request.route.resumable,
      isLast: this.#isStopping,
    });
  }

  get #isStopping(): boolean {
    return this.#parts.plannedStop() !== undefined;
  }
}
