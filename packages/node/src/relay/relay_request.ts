import {
  type Duration,
  elapsed,
  type Instant,
  later,
  milliseconds,
  type RegisteredServer,
  requestUrgency,
  type SendResult,
} from "@foxtailwind/core";
import { AnswerPassage } from "./answer_passage.ts";
import { BackendCall, type CallEnd } from "./backend_call.ts";
import { watchCall } from "./call_watch.ts";
import type { RelayParts } from "./relay_parts.ts";
import type { ReadRequest } from "./read_request.ts";
import { describeEnd } from "./request_line.ts";
import { PlaceFinder } from "./place_finder.ts";
import type { Place } from "./request_placer.ts";
import { SendRecord } from "./send_record.ts";

/** Why a request gets no server's answer. */
export type RelayRefusal =
  | "no_server"
  | "no_engine"
  | "not_run_in_time"
  | "not_run"
  | "lost"
  | "time_limit"
  | "broken_stream";

/** Asked of callers whose request found no place, in seconds. */
const COME_BACK_SECONDS = 0.3;
/** Relays one request to its end. */
export class RelayRequest {
  readonly #parts: RelayParts;
  readonly #request: ReadRequest;
  readonly #endsAt: Instant;
  /** How long the caller has waited in tries before this one. */
  readonly #waitedBefore: Duration;
  readonly #over = new AbortController();
  readonly #sent = new SendRecord();
  readonly #passage: AnswerPassage;
  readonly #finder: PlaceFinder;
  #call: BackendCall | undefined;
  #outcome = "";
  #placedAfter: Duration | undefined;
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param parts What it works with.
   * @param request The request.
   */
  constructor(parts: RelayParts, request: ReadRequest) {
    this.#parts = parts;
    this.#request = request;
    const { route, caller, arrivedAt } = request;
    const patience = Math.min(
      route.timeLimit,
      caller.patience ?? route.timeLimit,
    ) as Duration;
    this.#endsAt = later(arrivedAt, patience);
    this.#waitedBefore = parts.patience.waitedBefore(
      arrivedAt,
      route.name,
      patience,
    );
    this.#passage = new AnswerPassage(request, parts);
    this.#finder = new PlaceFinder(parts, request, {
      endsAt: this.#endsAt,
      sent: this.#sent,
      over: this.#over.signal,
    });
  }

  /** Relays the request; resolves once its answer has ended. */
  async run(): Promise<void> {
    const { response } = this.#request;
    const delay = Math.max(0, this.#endsAt - this.#now());
    this.#timer = setTimeout(() => {
      this.#timeIsUp();
    }, delay);
    response.once("close", () => {
      this.#closed();
    });
    response.on("drain", () => {
      this.#call?.resume();
    });
    this.#parts.allowances.earn(this.#now(), this.#request.service.id);
    let goesOn = true;
    while (goesOn) goesOn = await this.#attempt();
    clearTimeout(this.#timer);
    this.#log();
  }

  /** One send; whether another one is to follow. */
  async #attempt(): Promise<boolean> {
    const place = await this.#finder.find();
    if (this.#isOver()) {
      place?.release();
      return false;
    }
    if (place === undefined) {
      this.#refuse(this.#isEngine ? "no_engine" : "no_server");
      return false;
    }
    this.#placedAfter ??= elapsed(this.#request.arrivedAt, this.#now());
    const end = await this.#send(place);
    place.release();
    if (this.#isOver()) return false;
    return this.#judge(place.server, end);
  }

  async #send(place: Place): Promise<CallEnd> {
    const { pools, loads, nodes } = this.#parts;
    const { message, service, body } = this.#request;
    const { server } = place;
    const sentAt = this.#now();
    const load = loads.of(server.id);
    this.#sent.begin(server.id);
    load.sent(sentAt);
    const headers = this.#sendHeaders(place, sentAt);
    this.#passage.begin(sentAt);
    const call = new BackendCall(this.#passage);
    this.#call = call;
    call.send(pools.pool(server, service.connectionLimit, nodes()), {
      method: message.method ?? "GET",
      path: message.url ?? "/",
      headers,
      body,
    });
    const stopWatching = watchCall(call, {
      clock: this.#parts.clock,
      passage: this.#passage,
      target: this.#request.route.target,
      mayBeReplaced: this.#mayRunAgain() &&
        this.#sent.runs < this.#request.route.attempts,
      fellSilent: () => {
        pools.renew(server.id);
      },
    });
    const end = await call.ended;
    stopWatching();
    this.#call = undefined;
    load.ended(this.#now(), this.#resultFor(end));
    return end;
  }

  #sendHeaders({ server, adapterVersion }: Place, now: Instant): string[] {
    const resumeAfter = this.#passage.lastEventId;
    return this.#parts.wire.sendHeaders(this.#request.message.rawHeaders, {
      server: server.id,
      timeLeft: milliseconds(Math.floor(this.#endsAt - now)),
      ...(adapterVersion === undefined ? {} : { adapterVersion }),
      ...(this.#isEngine ? { urgency: this.#urgency(now) } : {}),
      ...(resumeAfter === undefined ? {} : { resumeAfter }),
    });
  }

  #urgency(now: Instant): number {
    const { route, caller, arrivedAt } = this.#request;
    return requestUrgency({
      target: route.target,
      waited: milliseconds(this.#waitedBefore + elapsed(arrivedAt, now)),
      promptTokens: caller.use?.promptTokens ?? 0,
      priority: route.priority,
    });
  }

  /** Decides what follows the end of a send; whether another send does. */
  #judge(server: RegisteredServer, end: CallEnd): boolean {
    const { verdict } = this.#passage;
    if (
      end.kind === "complete" && verdict === "passed" &&
      this.#passage.isKnownWhole
    ) {
      this.#passage.finish();
      this.#outcome = "answered";
      return false;
    }
    if (verdict === "not_run") {
      this.#sent.notRun(server.id);
      if (this.#passage.isMisdirected) this.#noteMisdirected(server);
      return this.#tryAgain() || this.#refuse("not_run");
    }
    if (end.kind === "broken" && !end.wasSent) {
      this.#sent.notSent(server.id);
      return !this.#sent.foundNoConnection || this.#refuse("not_run");
    }
    this.#sent.ended(server.id);
    if (this.#passage.hasBegun) {
      return this.#mayResume() && this.#tryAgain() || this.#breakOff();
    }
    if (this.#mayRunAgain() && this.#tryAgain()) return true;
    if (end.kind === "complete" && this.#passage.hasFailure) {
      this.#passage.passFailure();
      this.#outcome = "server_failure";
      return false;
    }
    return this.#refuse("lost");
  }

  #noteMisdirected(server: RegisteredServer): void {
    // An engine also says so of an adapter that it does not hold.
    if (!this.#isEngine) this.#parts.knowledge.registry.replaced(server.id);
  }

  #mayRunAgain(): boolean {
    const { route } = this.#request;
    return route.streams ? route.resumable : route.repeatable;
  }

  #mayResume(): boolean {
    return this.#request.route.resumable;
  }

  /** Takes another send from attempts, time and the allowance. */
  #tryAgain(): boolean {
    const { route, service } = this.#request;
    const { runs, sends, isSpent, lastServer } = this.#sent;
    if (runs >= route.attempts && runs > 0) return false;
    if (isSpent || this.#now() >= this.#endsAt) return false;
    const isAllowed = this.#parts.allowances.take(this.#now(), service.id);
    this.#parts.logger.info(
      isAllowed
        ? "A request is sent again."
        : "A request is not sent again: the allowance is used up.",
      {
        request: this.#request.caller.id,
        service: service.id,
        server: lastServer,
        because: this.#passage.verdict,
        sends,
        runs,
        left: Math.round(this.#endsAt - this.#now()),
      },
    );
    return isAllowed;
  }

  #timeIsUp(): void {
    if (this.#isOver()) return;
    if (this.#passage.hasBegun) this.#breakOff();
    else this.#refuse(this.#mayHaveRun() ? "time_limit" : "not_run_in_time");
  }

  /** Gives the final answer where no server's answer is passed on. */
  #refuse(refusal: RelayRefusal): false {
    this.#outcome = refusal;
    const isNotRun = !this.#mayHaveRun();
    this.#passage.refuse(isNotRun ? 503 : refusal === "lost" ? 502 : 504, {
      refusal,
      ...(isNotRun ? { comeBackSeconds: COME_BACK_SECONDS } : {}),
    });
    this.#end(refusal);
    return false;
  }

  #mayHaveRun(): boolean {
    const isUnsent = this.#call !== undefined && !this.#call.wasSent;
    return this.#sent.runs > (isUnsent ? 1 : 0);
  }

  #breakOff(): false {
    this.#outcome = "broken_stream";
    this.#passage.breakOff();
    this.#end("broken_stream");
    return false;
  }

  #closed(): void {
    if (this.#request.response.writableFinished) return;
    if (this.#outcome === "") this.#outcome = "caller_left";
    this.#end("caller_left");
  }

  #end(because: string): void {
    this.#over.abort();
    this.#call?.cut(because);
  }

  #resultFor(end: CallEnd): SendResult {
    const { verdict, firstAfter } = this.#passage;
    if (verdict === "not_run") {
      return { kind: this.#passage.isMisdirected ? "neutral" : "full" };
    }
    if (verdict === "passed" && firstAfter !== undefined) {
      return { kind: "answered", took: firstAfter };
    }
    if (this.#isOver()) {
      return { kind: this.#outcome === "time_limit" ? "dead" : "neutral" };
    }
    if (this.#passage.hasFailure) return { kind: "failed" };
    return { kind: end.kind === "broken" ? "dead" : "failed" };
  }

  #isOver(): boolean {
    return this.#over.signal.aborted;
  }

  get #isEngine(): boolean {
    return this.#request.service.engine !== undefined;
  }

  #now(): Instant {
    return this.#parts.clock.now();
  }

  #log(): void {
    const { route, arrivedAt } = this.#request;
    const took = elapsed(arrivedAt, this.#now());
    this.#parts.record(route, this.#outcome, took, this.#passage.firstAfter);
    this.#parts.logger.info(
      "A request ended.",
      describeEnd(this.#request, {
        outcome: this.#outcome,
        server: this.#sent.lastServer,
        sends: this.#sent.sends,
        runs: this.#sent.runs,
        asked: this.#finder.asked,
        placedAfter: this.#placedAfter,
        firstAfter: this.#passage.firstAfter,
        took,
        configuration: this.#parts.knowledge.routes?.configuration.version,
      }),
    );
  }
}
