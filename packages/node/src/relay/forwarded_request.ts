import {
  type Duration,
  elapsed,
  findSendObstacle,
  type Instant,
  milliseconds,
  RELAY_SENTENCE,
} from "@foxtailwind/core";
import { afterPendingInput } from "@foxtailwind/edges";
import {
  AnswerHandler,
  type AnswerHead,
  BackendCall,
  type DataDecision,
  type HeadDecision,
} from "./backend_call.ts";
import { CallerAnswer } from "./caller_answer.ts";
import { hasCallerLeft } from "./caller_departure.ts";
import type { PeerForwarder } from "./peer_forwarder.ts";
import { chooseRefusalAnswer, type RelayRefusal } from "./relay_refusal.ts";
import type { RelayParts } from "./relay_parts.ts";
import { requestDeadline, type RoutedRequest } from "./routed_request.ts";

/** The most peers that a request is offered to. */
const MAXIMUM_PEERS = 3;
/**
 * How long after the deadline this node answers itself. The peer, which has the
 * same deadline, knows whether the request has run.
 */
const PEER_ANSWER_MARGIN = milliseconds(100);

/** Passes a peer's answer on to the caller. */
class ForwardedAnswer extends AnswerHandler {
  readonly #answer: CallerAnswer;
  readonly #closesConnection: () => boolean;

  constructor(answer: CallerAnswer, closesConnection: () => boolean) {
    super();
    this.#answer = answer;
    this.#closesConnection = closesConnection;
  }

  override onHead(head: AnswerHead): HeadDecision {
    this.#answer.begin(head, {
      dropsLength: false,
      closesConnection: this.#closesConnection(),
    });
    return "take";
  }

  override onData(bytes: Buffer): DataDecision {
    return this.#answer.write(bytes) ? "continue" : "pause";
  }
}

/**
 * A request that a peer relays, because this node doesn't reach its service. The
 * peer treats it as its own caller's: access, quotas, retries and limits are
 * decided there, once.
 */
export class ForwardedRequest {
  readonly #parts: RelayParts;
  readonly #forwarder: PeerForwarder;
  readonly #request: RoutedRequest;
  readonly #answer: CallerAnswer;
  readonly #triedPeers = new Set<string>();
  #call: BackendCall | undefined;
  #abortReason: RelayRefusal | "caller_left" | undefined;

  /**
   * @param parts The collaborators.
   * @param forwarder Chooses the peers.
   * @param request The request.
   */
  constructor(
    parts: RelayParts,
    forwarder: PeerForwarder,
    request: RoutedRequest,
  ) {
    this.#parts = parts;
    this.#forwarder = forwarder;
    this.#request = request;
    this.#answer = new CallerAnswer(
      request.response,
      parts.clients.unreadAnswers,
    );
  }

  /**
   * Forwards the request; resolves once its answer has ended.
   * @returns Whether it has ended; otherwise no peer has taken it.
   */
  async run(): Promise<boolean> {
    const { response } = this.#request;
    response.once("close", () => {
      if (!response.writableFinished) this.#abort("caller_left");
    });
    response.on("drain", () => {
      this.#call?.resume();
    });
    const timer = setTimeout(
      afterPendingInput,
      Math.max(0, this.#deadline - this.#now()) + PEER_ANSWER_MARGIN,
      () => {
        this.#abort("time_limit");
      },
    );
    try {
      while (this.#triedPeers.size < MAXIMUM_PEERS) {
        const peer = this.#forwarder.choosePeer(
          this.#request.service.id,
          this.#triedPeers,
        );
        if (peer === undefined) return false;
        this.#triedPeers.add(peer);
        if (await this.#send(peer)) return true;
      }
      return false;
    } finally {
      clearTimeout(timer);
    }
  }

  /** Refuses the request or aborts its answer, because the node stops. */
  endForShutdown(): void {
    this.#abort("node_stops");
  }

  /** Does nothing: the peer refuses contents that are quarantined. */
  applyQuarantine(): void {}

  /** Sends the request to a peer; returns whether the request has ended. */
  async #send(peer: string): Promise<boolean> {
    const { message, body, response } = this.#request;
    const call = new BackendCall(
      new ForwardedAnswer(
        this.#answer,
        () => this.#parts.plannedStop() !== undefined,
      ),
    );
    this.#call = call;
    call.send(this.#forwarder.connectionsTo(peer), {
      method: message.method ?? "GET",
      path: message.url ?? "/",
      headers: this.#parts.wire.forwardHeaders(
        message.rawHeaders,
        milliseconds(Math.floor(this.#deadline - this.#now())),
      ),
      body,
      findObstacle: () =>
        findSendObstacle(this.#now(), {
          hasCallerLeft: hasCallerLeft(message, response),
          deadline: this.#deadline,
          isServerPresent: true,
          backoff: milliseconds(0),
        }),
    });
    const end = await call.ended;
    this.#call = undefined;
    if (end.kind === "complete") {
      this.#answer.end();
      this.#recordEnd(peer, "forwarded");
      return true;
    }
    const isUntried = !end.wasSent && this.#abortReason === undefined &&
      end.obstacle === undefined;
    if (isUntried) return false;
    const refusal = this.#abortReason ??
      (end.wasSent ? "lost" : "not_run_in_time");
    if (refusal !== "caller_left") {
      const { status, refusal: answer } = chooseRefusalAnswer(refusal, {
        isNotRun: !end.wasSent,
      });
      this.#answer.refuse(status, answer);
    }
    this.#recordEnd(peer, refusal);
    return true;
  }

  #abort(reason: RelayRefusal | "caller_left"): void {
    this.#abortReason ??= reason;
    this.#call?.abort(reason);
  }

  #recordEnd(peer: string, outcome: string): void {
    const { arrivedAt, caller, route, service } = this.#request;
    const took: Duration = elapsed(arrivedAt, this.#now());
    this.#parts.recordRequest(this.#request, outcome, took, undefined);
    this.#parts.logger.info(RELAY_SENTENCE.requestForwarded, {
      request: caller.id,
      route: route.name,
      service: service.id,
      peer,
      peers: this.#triedPeers.size,
      outcome,
      took: Math.round(took),
    });
  }

  get #deadline(): Instant {
    return requestDeadline(this.#request, this.#parts.plannedStop());
  }

  #now(): Instant {
    return this.#parts.clock.now();
  }
}
