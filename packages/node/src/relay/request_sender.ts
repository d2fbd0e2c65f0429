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

/** Why a request is over whose server did not answer in time. */
const TIME_LIMIT = "time_limit";

/** What a request's sends have in common. */
export interface SenderTerms extends PlaceTerms {
  /** Takes the answers. */
  readonly passage: AnswerPassage;
}

/** Sends one request to the servers that are found for it. */
export class RequestSender {
  readonly #parts: RelayParts;
  readonly #request: ReadRequest;
  readonly #terms: SenderTerms;
  #call: BackendCall | undefined;

  /**
   * @param parts What it works with.
   * @param request The request.
   * @param terms What its sends have in common.
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
   * @param place The server.
   * @returns How the call ended.
   */
  async send(place: Place): Promise<CallEnd> {
    const { pools, loads, nodes } = this.#parts;
    const { message, service, body } = this.#request;
    const { server } = place;
    const sentAt = this.#now();
    const load = loads.of(server);
    const isResumed = this.#terms.passage.lastEventId !== undefined;
    const isRepeat = this.#terms.sent.hasTried(server.id);
    this.#terms.sent.begin(server.id);
    load.recordSend(sentAt);
    const headers = this.#sendHeaders(place, sentAt);
    this.#terms.passage.begin(sentAt, {
      heard: (now) => {
        load.recordBytes(now);
      },
      named: (limit) => {
        this.#parts.limits.answered(server, sentAt, limit);
      },
    });
    const call = new BackendCall(this.#terms.passage);
    this.#call = call;
    // Another send to a server never goes where a late repeat of its first
    // answer, which bears the same id, may come.
    const connections = isRepeat
      ? pools.single(server)
      : pools.pool(server, service.connectionLimit, nodes());
    call.send(connections, {
      method: message.method ?? "GET",
      path: message.url ?? "/",
      headers,
      body,
    });
    const stopWatching = watchCall(call, {
      clock: this.#parts.clock,
      passage: this.#terms.passage,
      target: this.#request.route.target,
      mayBeReplaced: mayRunAgain(this.#request) &&
        this.#terms.sent.runs < this.#request.route.attempts,
      fellSilent: () => {
        pools.renew(server.id);
      },
    });
    const end = await call.ended;
    stopWatching();
    if (isRepeat) void connections.close();
    this.#call = undefined;
    const result = this.#resultFor(end);
    load.recordResult(this.#now(), result);
    if (this.#isEngine && !isResumed && result.kind === "answered") {
      load.prefillTimes.observe(this.#promptTokens, result.took);
    }
    const { verdict, isMisdirected } = this.#terms.passage;
    if (verdict === "not_run" && isMisdirected) place.missed();
    if (end.kind === "broken" && end.isLost && end.wasSent) {
      this.#parts.crashes.broke(this.#request.content, {
        server,
        load,
        isConnected: () => pools.isConnected(server),
        ranFor: this.#terms.passage.ranFor(this.#now()),
      });
    }
    return end;
  }

  #sendHeaders({ server, adapterVersion }: Place, now: Instant): string[] {
    const resumeAfter = this.#terms.passage.lastEventId;
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
    const { prefillTimes: pace } = this.#parts.loads.of(server);
    return requestUrgency({
      target: route.target,
      remaining: milliseconds(this.#terms.wantedBy - now),
      prefillTime: pace.estimate(this.#promptTokens),
      priority: route.priority,
    });
  }

  #resultFor(end: CallEnd): SendResult {
    const { over } = this.#terms;
    const { verdict, firstAfter } = this.#terms.passage;
    if (verdict === "not_run") {
      return { kind: this.#terms.passage.isMisdirected ? "neutral" : "full" };
    }
    if (verdict === "passed" && firstAfter !== undefined) {
      return { kind: "answered", took: firstAfter };
    }
    if (over.aborted) {
      return { kind: over.reason === TIME_LIMIT ? "dead" : "neutral" };
    }
    if (this.#terms.passage.hasFailure) return { kind: "failed" };
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
