import { hasEndingConnectionFailed } from "@foxtailwind/edges";
import { type Dispatcher, errors } from "undici";

/** Status and headers of a server's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** What to do with an answer whose head has arrived. */
export type HeadDecision =
  /** Pass its body to the handler. */
  | "take"
  /** Read and discard its body, and keep the connection. */
  | "drop"
  /** Abort the connection: the answer doesn't belong to this request. */
  | "cut";

/** How far a call had come when it broke. */
export type CallStage =
  /** Nothing of the request was sent. */
  | "unsent"
  /** It was sent, and may not have reached the server yet. */
  | "unanswered"
  /** The head of the answer had arrived. */
  | "answering";

/** How a call ended. */
export type CallEnd =
  /** The complete answer arrived. */
  | { readonly kind: "complete" }
  /** The call ended before the complete answer arrived. */
  | {
    readonly kind: "broken";
    /** Whether bytes of the request may have reached the server. */
    readonly wasSent: boolean;
    /** Why the request was not written to the connection that it got, if so. */
    readonly obstacle: string | undefined;
    readonly stage: CallStage;
    /** Whether the server's side closed or reset the connection. */
    readonly isConnectionLost: boolean;
    readonly detail: string;
  };

/** A request as it is sent to a server. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values, alternating. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /**
   * Called when the request is written to a connection, which may be long after
   * it was queued for one. Returns why it must not be sent any longer, if so.
   */
  readonly findObstacle: () => string | undefined;
}

/** What to do after bytes of a body. */
export type DataDecision =
  /** Read on. */
  | "continue"
  /** Read on once the call is resumed. */
  | "pause"
  /** Abort the connection: nothing that follows is of use. */
  | "cut";

/** Handles an answer as it arrives. */
export abstract class AnswerHandler {
  /** Handles the head and decides what to do with the answer. */
  abstract onHead(head: AnswerHead): HeadDecision;
  /** Handles bytes of the body and decides what to do next. */
  abstract onData(bytes: Buffer): DataDecision;
}

/** The least and the greatest status that HTTP defines. */
const STATUS_RANGE = { least: 100, greatest: 599 } as const;
const FIRST_FINAL_STATUS = 200;
/** The reason of calls whose body is longer or takes longer than allowed. */
const ENDLESS_BODY = "The answer has no end.";
/** A body that is discarded may be as long as this. */
const MAXIMUM_DISCARDED_BYTES = 65_536;
/** A body that is discarded may take as long as this. */
const DISCARD_TIMEOUT_MILLISECONDS = 500;

/** One call to a backend server. */
export class BackendCall implements Dispatcher.DispatchHandler {
  readonly #handler: AnswerHandler;
  readonly ended: Promise<CallEnd>;
  #resolveEnd: (end: CallEnd) => void = () => undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #abortReason: string | undefined;
  #hadHead = false;
  #isBodyDropped = false;
  #discardedBytes = 0;
  #discardTimer: NodeJS.Timeout | undefined;
  #wasSent = false;
  #findObstacle: () => string | undefined = () => undefined;
  #obstacle: string | undefined;

  /** @param handler Handles the answer. */
  constructor(handler: AnswerHandler) {
    this.#handler = handler;
    this.ended = new Promise((resolve) => {
      this.#resolveEnd = resolve;
    });
  }

  /** Whether bytes of the request may have reached the server. */
  get wasSent(): boolean {
    return this.#wasSent;
  }

  /**
   * Sends the request.
   * @param dispatcher The connections to the server.
   * @param request The request.
   */
  send(dispatcher: Dispatcher, request: OutgoingRequest): void {
    const { method, path, headers, body } = request;
    this.#findObstacle = request.findObstacle;
    dispatcher.dispatch({
      method: method,
      path,
      headers,
      body: body ?? null,
    }, this);
  }

  /**
   * Aborts the call and its connection.
   * @param reason The reason, for the log.
   */
  abort(reason: string): void {
    if (this.#abortReason !== undefined) return;
    this.#abortReason = reason;
    this.#controller?.abort(new Error(reason));
    if (this.#controller === undefined) this.#endBroken(reason);
  }

  /** Continues after a pause. */
  resume(): void {
    this.#controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#abortReason === undefined) {
      this.#obstacle = this.#findObstacle();
      this.#abortReason = this.#obstacle;
    }
    if (this.#abortReason !== undefined) {
      controller.abort(new Error(this.#abortReason));
      return;
    }
    this.#wasSent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    if (status < STATUS_RANGE.least || status > STATUS_RANGE.greatest) {
      this.#rejectHead(controller, "The status of the answer is invalid.");
      return;
    }
    // Skips interim responses, such as 100, before the final one.
    if (status < FIRST_FINAL_STATUS) return;
    this.#hadHead = true;
    const decision = this.#handler.onHead({ status, headers });
    if (decision === "drop") this.#discardBody();
    if (decision === "cut") {
      this.#rejectHead(
        controller,
        "The answer does not belong to this request.",
      );
    }
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#abortReason !== undefined) return;
    if (this.#isBodyDropped) {
      this.#discardedBytes += chunk.length;
      if (this.#discardedBytes > MAXIMUM_DISCARDED_BYTES) this.#cutBody();
      return;
    }
    const decision = this.#handler.onData(chunk);
    if (decision === "pause") controller.pause();
    if (decision === "cut") this.#cutBody();
  }

  onResponseEnd(): void {
    clearTimeout(this.#discardTimer);
    if (this.#abortReason !== undefined) {
      this.#endBroken(this.#abortReason);
      return;
    }
    const failure = hasEndingConnectionFailed();
    if (failure === undefined) {
      this.#resolveEnd({ kind: "complete" });
      return;
    }
    void failure.then((hasFailed) => {
      if (hasFailed) this.#endBroken("The connection was reset.", true);
      else this.#resolveEnd({ kind: "complete" });
    });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    clearTimeout(this.#discardTimer);
    if (this.#abortReason !== undefined) this.#endBroken(this.#abortReason);
    else {
      this.#endBroken(
        error.message,
        !(error instanceof errors.HTTPParserError),
      );
    }
  }

  #rejectHead(
    controller: Dispatcher.DispatchController,
    reason: string,
  ): void {
    this.#hadHead = false;
    this.#abortReason = reason;
    controller.abort(new Error(reason));
  }

  /** Reads the rest of the body, so that the connection can be used again. */
  #discardBody(): void {
    this.#isBodyDropped = true;
    this.#discardTimer = setTimeout(() => {
      this.abort(ENDLESS_BODY);
    }, DISCARD_TIMEOUT_MILLISECONDS);
  }

  /**
   * Aborts the call once the HTTP parser has returned. The parser may still
   * report the end of the body, which it must not for an aborted call.
   */
  #cutBody(): void {
    this.#abortReason = ENDLESS_BODY;
    queueMicrotask(() => {
      this.#controller?.abort(new Error(ENDLESS_BODY));
    });
  }

  get #stage(): CallStage {
    if (!this.#wasSent) return "unsent";
    return this.#hadHead ? "answering" : "unanswered";
  }

  #endBroken(detail: string, isConnectionLost = false): void {
    this.#resolveEnd({
      kind: "broken",
      wasSent: this.#wasSent,
      obstacle: this.#obstacle,
      stage: this.#stage,
      isConnectionLost,
      detail,
    });
  }
}
