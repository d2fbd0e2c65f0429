import {
  type BackendServerId,
  type Duration,
  elapsed,
  type Instant,
  later,
  milliseconds,
  type RegisteredServer,
  requestUrgency,
  type Route,
  type SendResult,
} from "@foxtailwind/core";
import { AnswerPassage } from "./answer_passage.ts";
import { BackendCall, type CallEnd } from "./backend_call.ts";
import { watchCall } from "./call_watch.ts";
import type { RelayParts } from "./relay_parts.ts";
import type { ReadRequest } from "./read_request.ts";
import { describeEnd } from "./request_line.ts";
import type { Place, PlaceAnswer } from "./request_placer.ts";

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
/** Between two looks for a place, in milliseconds. */
const PLACE_PAUSE_MILLISECONDS = 40;
/** The share of a caller's patience in which a place is looked for. */
const PLACE_SHARE = 0.4;
/** Callers leave a stream without events after the longest of these. */
const STREAM_PATIENCE = { least: 2_000, targets: 4, pauses: 8 } as const;
/** Sends to servers that did not run the request. */
const MOST_SENDS = 6;
/** Engines that were asked for a place, in one line of the log. */
const MOST_ASKED_LOGGED = 8;
/** Servers without a connection that are tried before the caller is told. */
const MOST_UNSENT = 4;

/** Relays one request to its end. */
export class RelayRequest {
  readonly #parts: RelayParts;
  readonly #request: ReadRequest;
  readonly #endsAt: Instant;
  /** How long the caller has waited in tries before this one. */
  readonly #waitedBefore: Duration;
  readonly #over = new AbortController();
  readonly #tried = new Set<BackendServerId>();
  readonly #passage: AnswerPassage;
  #sends = 0;
  /** Sends after which the request may have run. */
  #runs = 0;
  /** Sends that found no connection. */
  #unsent = 0;
  /** The engines that were asked for a place. */
  readonly #asked: PlaceAnswer[] = [];
  #call: BackendCall | undefined;
  #outcome = "";
  #lastServer: BackendServerId | undefined;
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
    const place = await this.#findPlace();
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

  async #findPlace(): Promise<Place | undefined> {
    const { arrivedAt, route } = this.#request;
    const patience = Math.min(
      this.#endsAt - arrivedAt,
      firstEventPatience(route),
    );
    // A stream that goes on elsewhere has used up its first patience long ago.
    const from = this.#sends === 0 ? arrivedAt : this.#now();
    const until = later(from, milliseconds(patience * PLACE_SHARE));
    for (;;) {
      const place = await this.#look(until);
      if (place !== undefined || this.#isOver()) return place;
      if (this.#now() >= until) return undefined;
      await this.#pause(PLACE_PAUSE_MILLISECONDS);
    }
  }

  async #look(until: Instant): Promise<Place | undefined> {
    const { service, caller } = this.#request;
    const { knowledge, placer } = this.#parts;
    const there = knowledge.servers(service.id).filter((one) => !one.leaving);
    const untried = there.filter((one) => !this.#tried.has(one.id));
    const servers = untried.length > 0 ? untried : there;
    if (!this.#isEngine || caller.use === undefined) {
      return placer.choosePlain(this.#now(), servers);
    }
    const left = Math.max(1, Math.ceil(until - this.#now()));
    const signal = AbortSignal.any([
      this.#over.signal,
      AbortSignal.timeout(left),
    ]);
    return await placer.placeOnEngine(caller.use, servers, {
      signal,
      note: (answer) => {
        if (this.#asked.length < MOST_ASKED_LOGGED) this.#asked.push(answer);
      },
    });
  }

  async #send(place: Place): Promise<CallEnd> {
    const { pools, loads, nodes } = this.#parts;
    const { message, service, body } = this.#request;
    const { server } = place;
    const sentAt = this.#now();
    const load = loads.of(server.id);
    this.#sends += 1;
    this.#runs += 1;
    this.#lastServer = server.id;
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
        this.#runs < this.#request.route.attempts,
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
      this.#runs -= 1;
      this.#tried.add(server.id);
      if (this.#passage.isMisdirected) this.#noteMisdirected(server);
      return this.#tryAgain() || this.#refuse("not_run");
    }
    if (end.kind === "broken" && !end.wasSent) {
      this.#runs -= 1;
      this.#sends -= 1;
      this.#unsent += 1;
      this.#tried.add(server.id);
      return this.#unsent < MOST_UNSENT || this.#refuse("not_run");
    }
    this.#tried.add(server.id);
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
    if (this.#runs >= route.attempts && this.#runs > 0) return false;
    if (this.#sends >= MOST_SENDS || this.#now() >= this.#endsAt) return false;
    const isAllowed = this.#parts.allowances.take(this.#now(), service.id);
    this.#parts.logger.info(
      isAllowed
        ? "A request is sent again."
        : "A request is not sent again: the allowance is used up.",
      {
        request: this.#request.caller.id,
        service: service.id,
        server: this.#lastServer,
        because: this.#passage.verdict,
        sends: this.#sends,
        runs: this.#runs,
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
    return this.#runs > (isUnsent ? 1 : 0);
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

  #pause(length: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, length);
    });
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
        server: this.#lastServer,
        sends: this.#sends,
        runs: this.#runs,
        asked: this.#asked,
        placedAfter: this.#placedAfter,
        firstAfter: this.#passage.firstAfter,
        took,
        configuration: this.#parts.knowledge.routes?.configuration.version,
      }),
    );
  }
}

/** How long callers of a route wait for a first event. */
function firstEventPatience(route: Route): number {
  if (!route.streams) return route.timeLimit;
  const { least, targets, pauses } = STREAM_PATIENCE;
  return Math.max(
    least,
    targets * route.target,
    pauses * (route.longestPause ?? 0),
  );
}
