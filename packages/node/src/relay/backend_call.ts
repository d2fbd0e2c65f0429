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

/** Handles an answer as it arrives. */
export abstract class AnswerHandler {
  /** Handles the head and decides what to do with the answer. */
  abstract onHead(head: AnswerHead): HeadDecision;
  /** Handles bytes of the body; returns false to pause the answer. */
  abstract onData(bytes: Buffer): boolean;
}

/** One call to a backend server. */
export class BackendCall implements Dispatcher.DispatchHandler {
  readonly #handler: AnswerHandler;
  readonly ended: Promise<CallEnd>;
  #resolveEnd: (end: CallEnd) => void = () => undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #abortReason: string | undefined;
  #hadHead = false;
  #isBodyDropped = false;
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
    // Skips interim responses, such as 100, before the final one.
    if (status < 200) return;
    this.#hadHead = true;
    const decision = this.#handler.onHead({ status, headers });
    if (decision === "drop") this.#isBodyDropped = true;
    if (decision === "cut") {
      this.#hadHead = false;
      this.#abortReason = "The answer does not belong to this request.";
      controller.abort(new Error(this.#abortReason));
    }
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#isBodyDropped) return;
    if (!this.#handler.onData(chunk)) controller.pause();
  }

  onResponseEnd(): void {
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
    if (this.#abortReason !== undefined) this.#endBroken(this.#abortReason);
    else {
      this.#endBroken(
        error.message,
        !(error instanceof errors.HTTPParserError),
      );
    }
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
