import {
  type Duration,
  elapsed,
  EventSplitter,
  type Instant,
} from "@foxtailwind/core";
import {
  type AnswerHead,
  AnswerTaker,
  type HeadVerdict,
} from "./backend_call.ts";
import { CallerAnswer, type OwnRefusal } from "./caller_answer.ts";
import { KeptAnswer } from "./kept_answer.ts";
import type { RelayParts } from "./relay_parts.ts";
import type { ReadRequest } from "./read_request.ts";

/** What came of a server's answer so far. */
export type PassageVerdict =
  | "none"
  /** A success, passed on as it comes. */
  | "passed"
  /** The server says that it has not run the request. */
  | "not_run"
  /** The server's own failure, kept until it is known whether to pass it. */
  | "failure"
  /** Not an answer to this request. */
  | "foreign";

/** How the end of an answer's body is told. */
export type AnswerFraming = "length" | "chunks" | "connection";

const BAD_GATEWAY = 502;
const SUCCESSES_FROM = 200;
const REDIRECTS_FROM = 300;
/** Successes that have no body. */
const BODILESS: ReadonlySet<number> = new Set([204, 205]);
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

  /** The last event that was passed on, where the stream may be resumed. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /**
   * Begins to wait for an answer to a send.
   * @param now The present time.
   */
  begin(now: Instant): void {
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
    const { wire, clock } = this.#parts;
    this.#heardAt = clock.now();
    const facts = wire.readAnswer(head.status, head.headers);
    this.#framing = this.#framingOf(head);
    const isOwn = facts.requestId === undefined ||
      facts.requestId === this.#request.caller.id;
    // A server may repeat an earlier answer late: whatever that says, even
    // that nothing has run, it does not say of this request.
    if (!isOwn) {
      this.#verdict = "foreign";
      return "cut";
    }
    if (facts.notRun) {
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
    this.#heardAt = this.#parts.clock.now();
    if (this.#verdict === "passed") {
      this.#firstAfter ??= elapsed(this.#sentAt, this.#heardAt);
    }
    if (this.#kept === undefined) return this.#pass(bytes);
    this.#kept.add(bytes);
    if (this.#verdict === "passed" && this.#kept.isLarge) {
      return this.#passKept(this.#kept);
    }
    return true;
  }

  /**
   * Whether the caller may be told that the answer is whole. The end of a
   * connection proves that to nobody, so it may only be passed on as such.
   */
  get isKnownWhole(): boolean {
    if (!this.#isOpenEnded) return true;
    const isCutOff = this.#splitter !== undefined &&
      this.#splitter.rest.length > 0;
    return !isCutOff && (this.#kept !== undefined || this.#answer.isOpenEnded);
  }

  /** Ends a success whose last bytes have come. */
  finish(): void {
    this.#firstAfter ??= elapsed(this.#sentAt, this.#heardAt);
    if (this.#kept !== undefined) this.#passKept(this.#kept);
    const rest = this.#splitter?.rest;
    if (rest !== undefined && rest.length > 0) this.#answer.write(rest);
    this.#answer.end();
  }

  /** Passes the server's own failure on. */
  passFailure(): void {
    if (this.#kept === undefined) return;
    const { head, body } = this.#kept;
    if (PROMISES.has(head.status)) {
      this.refuse(BAD_GATEWAY, { refusal: "server_failure" });
      return;
    }
    this.#beginAnswer(head);
    this.#answer.write(body);
    this.#answer.end();
  }

  /**
   * Refuses in the node's own words.
   * @param status The status.
   * @param own What to say.
   */
  refuse(status: number, own: OwnRefusal): void {
    this.#answer.refuse(status, own);
  }

  /** Ends an answer that can't be completed, so that it doesn't look whole. */
  breakOff(): void {
    this.#answer.breakOff();
  }

  get #isOpenEnded(): boolean {
    return this.#framing === "connection";
  }

  #framingOf({ status, headers }: AnswerHead): AnswerFraming {
    if (headers["transfer-encoding"] !== undefined) return "chunks";
    const hasLength = headers["content-length"] !== undefined ||
      this.#request.message.method === "HEAD" || BODILESS.has(status);
    return hasLength ? "length" : "connection";
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
    if (this.#request.route.streams) {
      this.#splitter ??= new EventSplitter();
      this.#beginAnswer(head);
    } else if (!this.hasBegun) {
      this.#kept = new KeptAnswer(head);
    }
  }

  #passKept({ head, body }: KeptAnswer): boolean {
    this.#kept = undefined;
    this.#beginAnswer(head);
    return this.#pass(body);
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

  #beginAnswer(head: AnswerHead): void {
    if (this.hasBegun) return;
    this.#answer.begin(head, {
      isOpenEnded: this.#isOpenEnded,
      isResumable: this.#request.route.resumable,
      isLast: this.#parts.plannedStop() !== undefined,
    });
  }
}
