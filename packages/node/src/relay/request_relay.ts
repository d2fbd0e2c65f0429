import {
  type ContentDigest,
  type Duration,
  elapsed,
  type Instant,
  later,
  milliseconds,
  type RegisteredServer,
  RELAY_SENTENCE,
  type RetryCharge,
} from "@foxtailwind/core";
import { afterPendingInput } from "@foxtailwind/edges";
import { AnswerForwarder } from "./answer_forwarder.ts";
import type { CallEnd, CallStage } from "./backend_call.ts";
import { PlacementFinder } from "./placement_finder.ts";
import { endsBeforeStop } from "./relay_stop.ts";
import {
  estimatedRequest,
  mayRunAgain,
  requestDeadline,
  requestTimeLimit,
  type RoutedRequest,
} from "./routed_request.ts";
import type { RelayParts } from "./relay_parts.ts";
import { chooseRefusalAnswer, type RelayRefusal } from "./relay_refusal.ts";
import { formatRequestEnd } from "./request_end.ts";
import { RequestSender } from "./request_sender.ts";
import { SendHistory } from "./send_history.ts";

/**
 * Relays one request: sends it to servers until one answers it, retries are
 * used up, or its time is over.
 */
export class RequestRelay {
  readonly #parts: RelayParts;
  readonly #request: RoutedRequest;
  readonly #cancellation = new AbortController();
  readonly #sendRecord: SendHistory;
  readonly #timeSinceStop: Duration | undefined;
  readonly #answer: AnswerForwarder;
  readonly #finder: PlacementFinder;
  readonly #sender: RequestSender;
  #outcome = "";
  #callFailure: string | undefined;
  #callStage: CallStage | undefined;
  #bodyDuration: Duration | undefined;
  #placementTime: Duration | undefined;
  /** The content or part for which the request was refused. */
  #quarantined: ContentDigest | undefined;
  #timer: NodeJS.Timeout | undefined;
  /** The retry that the next send uses. */
  #retryCharge: RetryCharge | undefined;

  /**
   * @param parts The collaborators.
   * @param request The request.
   */
  constructor(parts: RelayParts, request: RoutedRequest) {
    this.#parts = parts;
    this.#request = request;
    this.#sendRecord = new SendHistory(request.origin);
    const stop = parts.plannedStop();
    this.#timeSinceStop = stop && elapsed(stop.begunAt, request.arrivedAt);
    this.#answer = new AnswerForwarder(request, parts);
    const earlierWait = parts.callerTimeouts.estimateEarlierWait(
      request.arrivedAt,
      request.route.name,
      requestTimeLimit(request),
    );
    const terms = {
      firstEventDeadline: later(
        request.arrivedAt,
        milliseconds(request.route.target - earlierWait),
      ),
      deadline: () => this.#deadline,
      sendRecord: this.#sendRecord,
      abandonSignal: this.#cancellation.signal,
    };
    this.#finder = new PlacementFinder(parts, request, terms);
    this.#sender = new RequestSender(parts, request, {
      ...terms,
      answer: this.#answer,
    });
  }

  /** Relays the request; resolves once its answer has ended. */
  async run(): Promise<void> {
    const { response } = this.#request;
    const delay = Math.max(0, this.#deadline - this.#now());
    this.#timer = setTimeout(afterPendingInput, delay, () => {
      this.#handleTimeout();
    });
    response.once("close", () => {
      this.#handleClose();
    });
    response.on("drain", () => {
      this.#answer.times.recordCaughtUp(this.#now());
      this.#sender.call?.resume();
    });
    this.#parts.retryBudgets.recordRequest(
      this.#now(),
      this.#request.service.id,
    );
    let continues = true;
    while (continues) continues = await this.#attempt();
    clearTimeout(this.#timer);
    this.#answer.release();
    this.#retryCharge?.refund();
    if (!this.#mayHaveRun()) this.#parts.quotas.refund(this.#request);
    this.#logEnd();
  }

  /**
   * Refuses the request if its content has been quarantined since it arrived. A
   * request whose answer has begun continues, since it may yet prove that its
   * content doesn't crash servers.
   */
  applyQuarantine(): void {
    if (this.#isCancelled() || this.#outcome !== "") return;
    if (!this.#answer.hasBegun) this.#endIfQuarantined();
  }

  /** Refuses the request or aborts its answer, because the node stops. */
  endForShutdown(): void {
    if (!this.#isCancelled() && this.#outcome === "") {
      this.#giveUp("node_stops");
    }
  }

  /** Sends the request once; returns whether another send is to follow. */
  async #attempt(): Promise<boolean> {
    if (this.#endIfQuarantined() || this.#endIfBarred()) return false;
    if (this.#endIfTooLate()) return false;
    const place = await this.#finder.find();
    // Another node may have quarantined the content during the search, and an
    // operator may have revoked the key.
    if (
      this.#isCancelled() || this.#endIfQuarantined() || this.#endIfBarred() ||
      place !== undefined && this.#endIfTooLate()
    ) {
      place?.release();
      return false;
    }
    if (this.#now() >= this.#deadline) {
      place?.release();
      this.#handleTimeout();
      return false;
    }
    if (place === undefined) {
      this.#refuse(this.#placementRefusal, this.#finder.retryAfter);
      return false;
    }
    this.#placementTime ??= elapsed(this.#request.arrivedAt, this.#now());
    const end = await this.#sender.send(place, this.#retryCharge);
    place.release();
    if (end.kind === "complete" || end.wasSent) this.#retryCharge = undefined;
    this.#callFailure = end.kind === "broken"
      ? end.detail
      : this.#answer.defect;
    this.#callStage = end.kind === "broken" ? end.stage : undefined;
    this.#bodyDuration = end.kind === "broken"
      ? this.#answer.times.bodyDuration(this.#now())
      : undefined;
    if (this.#isCancelled()) return false;
    return this.#handleCallEnd(place.server, end);
  }

  /** Handles the end of a send; returns whether another one is to follow. */
  #handleCallEnd(server: RegisteredServer, end: CallEnd): boolean {
    const { answerKind } = this.#answer;
    if (
      end.kind === "complete" && answerKind === "passed" &&
      this.#answer.defect === undefined
    ) {
      this.#answer.finish();
      if (!this.#answer.isUnmarked) {
        this.#parts.crashReports.recordServed(this.#request.content);
      }
      this.#outcome = "answered";
      return false;
    }
    if (answerKind === "not_run") {
      this.#sendRecord.recordNotRun(server.id);
      if (this.#answer.isMisdirected) this.#handleMisdirected(server);
      return this.#takeRetry() || this.#refuse("not_run");
    }
    if (end.kind === "broken" && !end.wasSent) {
      this.#sendRecord.recordNotSent(server.id);
      return !this.#sendRecord.isConnectionLimitReached ||
        this.#refuse("not_run");
    }
    this.#sendRecord.recordEnd(server.id);
    if (this.#answer.hasBegun) {
      return this.#answer.isResumable && this.#takeRetry() ||
        this.#abortAnswer();
    }
    if (mayRunAgain(this.#request) && this.#takeRetry()) return true;
    if (end.kind === "complete" && this.#answer.hasFailure) {
      this.#answer.forwardFailure();
      this.#outcome = "server_failure";
      return false;
    }
    return this.#refuse("lost");
  }

  #handleMisdirected(server: RegisteredServer): void {
    // Engines also answer so for an adapter that they don't hold.
    if (!this.#isEngine) {
      this.#parts.knowledge.registry.removeReplaced(server.id, server.start);
    }
  }

  /** Takes a retry if attempts, time and the retry budget permit one. */
  #takeRetry(): boolean {
    const { route, service } = this.#request;
    const { possibleRuns, sends, isSendLimitReached, lastServer } =
      this.#sendRecord;
    if (possibleRuns >= route.attempts && possibleRuns > 0) return false;
    if (isSendLimitReached || this.#now() >= this.#deadline) return false;
    this.#retryCharge = this.#parts.retryBudgets
      .tryTake(this.#now(), service.id);
    const isAllowed = this.#retryCharge !== undefined;
    const budget = this.#parts.retryBudgets.describe(this.#now(), service.id);
    this.#parts.logger.info(
      isAllowed
        ? "A request is retried."
        : "A request is not retried: the retry budget is used up.",
      {
        request: this.#request.caller.id,
        service: service.id,
        server: lastServer?.id,
        software: lastServer?.software,
        because: this.#answer.answerKind,
        sends,
        runs: possibleRuns,
        left: Math.round(this.#deadline - this.#now()),
        budget_requests: budget.requests,
        budget_retries: budget.retries,
        budget_nodes: budget.nodes,
      },
    );
    return isAllowed;
  }

  #endIfQuarantined(): boolean {
    const quarantine = this.#parts.crashReports.findQuarantine(
      this.#request.content,
    );
    if (quarantine === undefined) return false;
    this.#quarantined = quarantine.content;
    this.#giveUp("quarantined", quarantine.remaining);
    return true;
  }

  /** Ends the request if its API key is no longer valid. */
  #endIfBarred(): boolean {
    const refusal = this.#parts.access.findRefusal(this.#request);
    if (refusal === undefined) return false;
    this.#giveUp(refusal);
    return true;
  }

  /** Ends the request if it would outlast a stopping node. */
  #endIfTooLate(): boolean {
    const { durations, plannedStop } = this.#parts;
    const stop = plannedStop();
    if (stop === undefined) return false;
    const run = durations.estimateRun(estimatedRequest(this.#request));
    if (endsBeforeStop(this.#now(), stop, run)) return false;
    this.#giveUp("node_stops");
    return true;
  }

  #handleTimeout(): void {
    if (this.#isCancelled() || this.#outcome !== "") return;
    this.#giveUp(this.#mayHaveRun() ? "time_limit" : "not_run_in_time");
  }

  #giveUp(refusal: RelayRefusal, retryAfter?: Duration): void {
    if (this.#answer.hasBegun) this.#abortAnswer();
    else this.#refuse(refusal, retryAfter);
  }

  /** Gives the node's own final answer if no server's answer is forwarded. */
  #refuse(refusal: RelayRefusal, retryAfter?: Duration): false {
    this.#outcome = refusal;
    const isNotRun = !this.#mayHaveRun();
    const { status, refusal: body } = chooseRefusalAnswer(refusal, {
      isNotRun,
      retryAfter,
    });
    this.#answer.refuse(status, body);
    this.#cancel(refusal);
    return false;
  }

  #mayHaveRun(): boolean {
    const { call } = this.#sender;
    const isUnsent = call !== undefined && !call.wasSent;
    return this.#sendRecord.possibleRuns > (isUnsent ? 1 : 0);
  }

  #abortAnswer(): false {
    this.#outcome = "broken_stream";
    this.#answer.abort();
    this.#cancel("broken_stream");
    return false;
  }

  #handleClose(): void {
    if (this.#request.response.writableFinished) return;
    if (this.#outcome === "") this.#outcome = "caller_left";
    this.#cancel("caller_left");
  }

  #cancel(reason: string): void {
    this.#cancellation.abort(reason);
    this.#sender.call?.abort(reason);
  }

  #isCancelled(): boolean {
    return this.#cancellation.signal.aborted;
  }

  get #deadline(): Instant {
    return requestDeadline(this.#request, this.#parts.plannedStop());
  }

  get #placementRefusal(): RelayRefusal {
    if (!this.#finder.isContinuable) return "no_same_software";
    return this.#isEngine ? "no_engine" : "no_server";
  }

  get #isEngine(): boolean {
    return this.#request.service.engine !== undefined;
  }

  #now(): Instant {
    return this.#parts.clock.now();
  }

  /** Records how long the request took, if one send has answered it whole. */
  #recordDuration(total: Duration): void {
    const { caller, route } = this.#request;
    const isWhole = this.#outcome === "answered" &&
      caller.lastEventId === undefined && this.#sendRecord.sends === 1;
    if (!isWhole) return;
    this.#parts.durations.record(route.name, {
      outputTokens: caller.use?.outputTokens ?? 0,
      total,
      run: this.#answer.times.sinceSend(this.#now()),
    });
  }

  #logEnd(): void {
    const { arrivedAt } = this.#request;
    const duration = elapsed(arrivedAt, this.#now());
    this.#recordDuration(duration);
    this.#parts.recordRequest(
      this.#request,
      this.#outcome,
      duration,
      this.#answer.times.toFirstByte,
    );
    this.#parts.logger.info(
      RELAY_SENTENCE.requestEnded,
      formatRequestEnd(this.#request, {
        outcome: this.#outcome,
        server: this.#sendRecord.lastServer,
        origin: this.#sendRecord.origin,
        sends: this.#sendRecord.sends,
        possibleRuns: this.#sendRecord.possibleRuns,
        framing: this.#answer.framing,
        quarantined: this.#quarantined,
        callFailure: this.#callFailure,
        callStage: this.#callStage,
        bodyDuration: this.#bodyDuration,
        placeAnswers: this.#finder.askedEngines,
        limitWait: this.#finder.retryAfter,
        placementTime: this.#placementTime,
        timeToHead: this.#answer.times.toHead,
        timeToFirstByte: this.#answer.times.toFirstByte,
        duration,
        timeSinceStop: this.#timeSinceStop,
        configuration: this.#parts.knowledge.routes?.configuration.version,
      }),
    );
  }
}
