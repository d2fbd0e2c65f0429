import {
  findSendObstacle,
  type Instant,
  isDifferentStart,
  milliseconds,
  type RegisteredServer,
  requestUrgency,
  type RetryCharge,
  type SendResult,
  type ServerLoad,
} from "@foxtailwind/core";
import type { AnswerForwarder } from "./answer_forwarder.ts";
import { BackendCall, type CallEnd } from "./backend_call.ts";
import { watchCall } from "./call_watch.ts";
import { hasCallerLeft } from "./caller_departure.ts";
import type { SendTerms } from "./caller_wire.ts";
import type { PlacementTerms } from "./placement_finder.ts";
import {
  mayRunAgain,
  requestPriority,
  type RoutedRequest,
} from "./routed_request.ts";
import type { RelayParts } from "./relay_parts.ts";
import type { Placement } from "./placement.ts";

/** The cancellation reason of requests that a server didn't answer in time. */
const TIME_LIMIT = "time_limit";

/** What all sends of a request have in common. */
export interface SenderTerms extends PlacementTerms {
  /** Handles the answers. */
  readonly answer: AnswerForwarder;
}

/** Sends one request to the servers that are chosen for it. */
export class RequestSender {
  readonly #parts: RelayParts;
  readonly #request: RoutedRequest;
  readonly #terms: SenderTerms;
  #call: BackendCall | undefined;

  /**
   * @param parts The collaborators.
   * @param request The request.
   * @param terms What all its sends have in common.
   */
  constructor(parts: RelayParts, request: RoutedRequest, terms: SenderTerms) {
    this.#parts = parts;
    this.#request = request;
    this.#terms = terms;
  }

  /** The call in progress. */
  get call(): BackendCall | undefined {
    return this.#call;
  }

  /**
   * Sends the request to a server.
   * @param place The chosen server.
   * @param charge The retry that the send uses, if it is one.
   * @returns How the call ended.
   */
  async send(
    place: Placement,
    charge: RetryCharge | undefined,
  ): Promise<CallEnd> {
    const { crashReports, pools, loads, countNodes: nodes } = this.#parts;
    const { content, message, service, body } = this.#request;
    const { server } = place;
    const sentAt = this.#now();
    const serverLoad = loads.loadOf(server);
    const run = this.#presentRun(server);
    const isResumed = this.#terms.answer.lastEventId !== undefined;
    const isRepeat = this.#terms.sendRecord.hasReached(server.id);
    this.#terms.sendRecord.recordSend(server);
    serverLoad.recordSend(sentAt);
    const headers = this.#sendHeaders(place, sentAt);
    const call = new BackendCall(this.#terms.answer);
    this.#terms.answer.beginSend(sentAt, {
      onBytes: (now) => {
        serverLoad.recordBytes(now);
      },
      onBegun: () => {
        const { ended } = call;
        crashReports.recordBegun(content, { server: run, ended });
      },
      onFirstEvent: (now) => {
        this.#recordOrigin(now, server);
      },
      onHead: (status, facts) => {
        charge?.settle(this.#now());
        this.#parts.limits.applyAnswer(server, { sentAt, status, facts });
        if (facts.isLeaving) this.#parts.knowledge.recordDeparture(server);
      },
    });
    this.#call = call;
    // A repeated send to a server uses a new connection: on an old one, a late
    // repeat of the first answer could arrive, which has the same request id.
    const connections = isRepeat
      ? pools.createSingleUseClient(server)
      : pools.getPool(server, service.connectionLimit, nodes());
    call.send(connections, {
      method: message.method ?? "GET",
      path: message.url ?? "/",
      headers,
      body,
      findObstacle: () => this.#findObstacle(server),
    });
    const stopWatching = watchCall(call, {
      clock: this.#parts.clock,
      passage: this.#terms.answer,
      target: this.#request.route.target,
      mayBeReplaced: mayRunAgain(this.#request) &&
        this.#terms.sendRecord.possibleRuns < this.#request.route.attempts,
      onSilence: () => {
        pools.retire(server.id);
      },
    });
    const end = await call.ended;
    stopWatching();
    // A call that was given up has reset its connection.
    if (end.kind === "complete" || end.wasSent) charge?.settle(this.#now());
    if (isRepeat) void connections.close();
    this.#call = undefined;
    const result = this.#classifyEnd(end);
    serverLoad.recordResult(this.#now(), result);
    if (this.#isEngine && !isResumed && result.kind === "answered") {
      serverLoad.prefillTimes.observe(this.#promptTokens, result.took);
    }
    const { answerKind, isMisdirected } = this.#terms.answer;
    if (answerKind === "not_run" && isMisdirected) place.reportMiss();
    this.#reportCrash(run, end, serverLoad);
    return end;
  }

  /**
   * Returns the start of a server that a request is sent to now. It may have
   * started again since it was chosen.
   */
  #presentRun(server: RegisteredServer): RegisteredServer {
    const { registry } = this.#parts.knowledge;
    const start = registry.find(server.id)?.start;
    return start === undefined ? server : { ...server, start };
  }

  /** Reports a call that the end of its server may have ended. */
  #reportCrash(
    server: RegisteredServer,
    end: CallEnd,
    load: ServerLoad,
  ): void {
    const { crashReports, pools } = this.#parts;
    const { content } = this.#request;
    const { answer } = this.#terms;
    const ranFor = answer.times.runDuration(this.#now());
    // A server that ends its answer in order has not crashed, even if the answer
    // is incomplete.
    const isBroken = end.kind === "complete"
      ? answer.isUnmarked && answer.defect !== undefined
      : end.isConnectionLost && end.wasSent;
    if (isBroken) {
      crashReports.recordBrokenCall(content, {
        server,
        load,
        isConnected: () => pools.isConnected(server),
        probe: () => pools.probeEnd(server),
        ranFor,
      });
    } else if (
      end.kind === "complete" && answer.isUnmarked && ranFor !== undefined
    ) {
      crashReports.recordUnmarkedEnd(content, server, ranFor);
    }
  }

  /** Finds why the request must not be written to a server's connection. */
  #findObstacle(server: RegisteredServer): string | undefined {
    const { access, crashReports, knowledge, limits } = this.#parts;
    const { content, message, response } = this.#request;
    if (crashReports.findQuarantine(content) !== undefined) {
      return "quarantined";
    }
    const known = knowledge.registry.find(server.id)?.start;
    const hasRestarted = isDifferentStart(server.start, known);
    if (this.#request.route.resumable && hasRestarted) return "restarted";
    return access.findRefusal(this.#request) ?? findSendObstacle(this.#now(), {
      hasCallerLeft: hasCallerLeft(message, response),
      deadline: this.#terms.deadline(),
      isServerPresent: knowledge.departures.takesRequests(server),
      backoff: limits.backoff(server),
    });
  }

  #sendHeaders({ server, adapterVersion }: Placement, now: Instant): string[] {
    const resumeAfter = this.#terms.answer.lastEventId;
    const { account } = this.#request;
    return this.#parts.wire.sendHeaders(this.#request.message.rawHeaders, {
      server: server.id,
      ...this.#requiredStart(server),
      timeLeft: milliseconds(Math.floor(this.#terms.deadline() - now)),
      ...(adapterVersion === undefined ? {} : { adapterVersion }),
      ...(this.#isEngine ? { urgency: this.#urgency(server, now) } : {}),
      ...(resumeAfter === undefined ? {} : { resumeAfterEventId: resumeAfter }),
      hasAccounts: this.#parts.knowledge.routes?.accounts !== undefined,
      ...(account === undefined ? {} : { account: account.id }),
    });
  }

  /**
   * Only the known start of a server runs a stream that may be resumed: one that
   * this node hasn't heard of may run other software.
   */
  #requiredStart({ start }: RegisteredServer): Pick<SendTerms, "start"> {
    const { resumable } = this.#request.route;
    return resumable && start !== undefined ? { start } : {};
  }

  /**
   * Records which server began a stream that may be resumed. If several may have
   * begun it for a node that knows no more of it, it is kept in the log, too.
   */
  #recordOrigin(now: Instant, server: RegisteredServer): void {
    const { sendRecord } = this.#terms;
    const { caller, message, route } = this.#request;
    const { streams, knowledge } = this.#parts;
    const { origin: known } = sendRecord;
    if (!route.resumable || known?.server !== undefined) return;
    // A resumed stream whose software only was known is known from now on.
    const attempt = known === undefined ? caller.id : caller.resumes;
    if (attempt === undefined) return;
    const origin = {
      attempt,
      service: server.service,
      software: server.software,
      server: server.id,
      ...(server.start === undefined ? {} : { start: server.start }),
      begunAt: now,
    };
    sendRecord.recordOrigin(origin);
    streams.record(origin);
    const path = message.url ?? "/";
    if (
      knowledge.streamRecord.sources.onlySource(route.host, path) === undefined
    ) {
      streams.archive(origin);
    }
  }

  #urgency(server: RegisteredServer, now: Instant): number {
    const { route } = this.#request;
    const { prefillTimes } = this.#parts.loads.loadOf(server);
    return requestUrgency({
      target: route.target,
      remaining: milliseconds(this.#terms.firstEventDeadline - now),
      prefillTime: prefillTimes.estimate(this.#promptTokens),
      priority: requestPriority(this.#request),
    });
  }

  #classifyEnd(end: CallEnd): SendResult {
    const { abandonSignal } = this.#terms;
    const { answerKind, times } = this.#terms.answer;
    if (end.kind === "broken" && end.obstacle !== undefined) {
      return { kind: "neutral" };
    }
    if (answerKind === "not_run") {
      return { kind: this.#terms.answer.isMisdirected ? "neutral" : "full" };
    }
    if (answerKind === "passed" && times.toFirstByte !== undefined) {
      return { kind: "answered", took: times.toFirstByte };
    }
    if (abandonSignal.aborted) {
      return { kind: abandonSignal.reason === TIME_LIMIT ? "dead" : "neutral" };
    }
    if (this.#terms.answer.hasFailure) return { kind: "failed" };
    return { kind: end.kind === "broken" ? "dead" : "failed" };
  }

  get #promptTokens(): number {
    return this.#request.caller.use?.promptTokens ?? 0;
  }

  get #isEngine(): boolean {
    return this.#request.service.engine !== undefined;
  }

  #now(): Instant {
    return this.#parts.clock.now();
  }
}
