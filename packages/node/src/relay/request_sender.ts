import {
  type Instant,
  milliseconds,
  type RegisteredServer,
  requestUrgency,
  type SendResult,
} from "@foxtailwind/core";
import type { AnswerPassage } from "./answer_passage.ts";
import { BackendCall, type CallEnd } from "./backend_call.ts";
import { watchCall } from "./call_watch.ts";
import type { PlaceTerms } from "./place_finder.ts";
import { mayRunAgain, type ReadRequest } from "./read_request.ts";
import type { RelayParts } from "./relay_parts.ts";
import type { Place } from "./request_placer.ts";

/** The cancellation reason of requests that a server didn't answer in time. */
const TIME_LIMIT = "time_limit";

/** What all sends of a request have in common. */
export interface SenderTerms extends PlaceTerms {
  /** Handles the answers. */
  readonly answer: AnswerPassage;
}

/** Sends one request to the servers that are chosen for it. */
export class RequestSender {
  readonly #parts: RelayParts;
  readonly #request: ReadRequest;
  readonly #terms: SenderTerms;
  #call: BackendCall | undefined;

  /**
   * @param parts The collaborators.
   * @param request The request.
   * @param terms What all its sends have in common.
   */
  constructor(parts: RelayParts, request: ReadRequest, terms: SenderTerms) {
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
   * @returns How the call ended.
   */
  async send(place: Place): Promise<CallEnd> {
    const { pools, loads, nodes } = this.#parts;
    const { message, service, body } = this.#request;
    const { server } = place;
    const sentAt = this.#now();
    const serverLoad = loads.of(server);
    const isResumed = this.#terms.answer.lastEventId !== undefined;
    const isRepeat = this.#terms.sent.hasTried(server.id);
    this.#terms.sent.recordSend(server.id);
    serverLoad.recordSend(sentAt);
    const headers = this.#sendHeaders(place, sentAt);
    this.#terms.answer.beginSend(sentAt, {
      onBytes: (now) => {
        serverLoad.recordBytes(now);
      },
      onRequestLimit: (limit) => {
        this.#parts.limits.answered(server, sentAt, limit);
      },
    });
    const call = new BackendCall(this.#terms.answer);
    this.#call = call;
    // A repeated send to a server uses a new connection: on an old one, a late
    // repeat of the first answer could arrive, which has the same request id.
    const connections = isRepeat
      ? pools.createSingleUseClient(server)
      : pools.pool(server, service.connectionLimit, nodes());
    call.send(connections, {
      method: message.method ?? "GET",
      path: message.url ?? "/",
      headers,
      body,
    });
    const stopWatching = watchCall(call, {
      clock: this.#parts.clock,
      passage: this.#terms.answer,
      target: this.#request.route.target,
      mayBeReplaced: mayRunAgain(this.#request) &&
        this.#terms.sent.possibleRuns < this.#request.route.attempts,
      fellSilent: () => {
        pools.retire(server.id);
      },
    });
    const end = await call.ended;
    stopWatching();
    if (isRepeat) void connections.close();
    this.#call = undefined;
    const result = this.#classifyEnd(end);
    serverLoad.recordResult(this.#now(), result);
    if (this.#isEngine && !isResumed && result.kind === "answered") {
      serverLoad.prefillTimes.observe(this.#promptTokens, result.took);
    }
    const { answerKind, isMisdirected } = this.#terms.answer;
    if (answerKind === "not_run" && isMisdirected) place.missed();
    if (end.kind === "broken" && end.isConnectionLost && end.wasSent) {
      this.#parts.crashes.broke(this.#request.content, {
        server,
        load: serverLoad,
        isConnected: () => pools.isConnected(server),
        ranFor: this.#terms.answer.bodyDuration(this.#now()),
      });
    }
    return end;
  }

  #sendHeaders({ server, adapterVersion }: Place, now: Instant): string[] {
    const resumeAfter = this.#terms.answer.lastEventId;
    return this.#parts.wire.sendHeaders(this.#request.message.rawHeaders, {
      server: server.id,
      timeLeft: milliseconds(Math.floor(this.#terms.endsAt() - now)),
      ...(adapterVersion === undefined ? {} : { adapterVersion }),
      ...(this.#isEngine ? { urgency: this.#urgency(server, now) } : {}),
      ...(resumeAfter === undefined ? {} : { resumeAfter }),
    });
  }

  #urgency(server: RegisteredServer, now: Instant): number {
    const { route } = this.#request;
    const { prefillTimes } = this.#parts.loads.of(server);
    return requestUrgency({
      target: route.target,
      remaining: milliseconds(this.#terms.wantedBy - now),
      prefillTime: prefillTimes.estimate(this.#promptTokens),
      priority: route.priority,
    });
  }

  #classifyEnd(end: CallEnd): SendResult {
    const { over } = this.#terms;
    const { answerKind, timeToFirstByte } = this.#terms.answer;
    if (answerKind === "not_run") {
      return { kind: this.#terms.answer.isMisdirected ? "neutral" : "full" };
    }
    if (answerKind === "passed" && timeToFirstByte !== undefined) {
      return { kind: "answered", took: timeToFirstByte };
    }
    if (over.aborted) {
      return { kind: over.reason === TIME_LIMIT ? "dead" : "neutral" };
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
