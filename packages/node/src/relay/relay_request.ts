import {
  type Duration,
  elapsed,
  type Instant,
  later,
  milliseconds,
  type RegisteredServer,
  RELAY_SENTENCE,
} from "@foxtailwind/core";
import { afterPendingInput } from "@foxtailwind/edges";
import { AnswerPassage } from "./answer_passage.ts";
import type { CallEnd } from "./backend_call.ts";
import { PlaceFinder } from "./place_finder.ts";
import {
  endOf,
  longestTime,
  mayRunAgain,
  type ReadRequest,
} from "./read_request.ts";
import type { RelayParts } from "./relay_parts.ts";
import { answerRefusal, type RelayRefusal } from "./relay_refusal.ts";
import { describeEnd } from "./request_line.ts";
import { RequestSender } from "./request_sender.ts";
import { SendRecord } from "./send_record.ts";

/** Relays one request to its end. */
export class RelayRequest {
  readonly #parts: RelayParts;
  readonly #request: ReadRequest;
  readonly #over = new AbortController();
  readonly #sent = new SendRecord();
  readonly #stoppingFor: Duration | undefined;
  readonly #passage: AnswerPassage;
  readonly #finder: PlaceFinder;
  readonly #sender: RequestSender;
  #outcome = "";
  #broke: string | undefined;
  #ranFor: Duration | undefined;
  #placedAfter: Duration | undefined;
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param parts What it works with.
   * @param request The request.
   */
  constructor(parts: RelayParts, request: ReadRequest) {
    this.#parts = parts;
    this.#request = request;
    const stop = parts.plannedStop();
    this.#stoppingFor = stop && elapsed(stop.begunAt, request.arrivedAt);
    this.#passage = new AnswerPassage(request, parts);
    const waitedBefore = parts.patience.estimateEarlierWait(
      request.arrivedAt,
      request.route.name,
      longestTime(request),
    );
    const terms = {
      wantedBy: later(
        request.arrivedAt,
        milliseconds(request.route.target - waitedBefore),
      ),
      endsAt: () => this.#endsAt,
      sent: this.#sent,
      over: this.#over.signal,
    };
    this.#finder = new PlaceFinder(parts, request, terms);
    this.#sender = new RequestSender(parts, request, {
      ...terms,
      passage: this.#passage,
    });
  }

  /** Relays the request; resolves once its answer has ended. */
  async run(): Promise<void> {
    const { response } = this.#request;
    const delay = Math.max(0, this.#endsAt - this.#now());
    this.#timer = setTimeout(afterPendingInput, delay, () => {
      this.#timeIsUp();
    });
    response.once("close", () => {
      this.#closed();
    });
    response.on("drain", () => {
      this.#sender.call?.resume();
    });
    this.#parts.allowances.earn(this.#now(), this.#request.service.id);
    let goesOn = true;
    while (goesOn) goesOn = await this.#attempt();
    clearTimeout(this.#timer);
    this.#log();
  }

  /**
   * Ends the request if its content has crashed servers meanwhile. One whose
   * answer has begun goes on: its end shows that it crashes none.
   */
  endIfCrashing(): void {
    if (this.#isOver() || this.#outcome !== "") return;
    if (!this.#passage.hasBegun) this.#endIfQuarantined();
  }

  /** Ends the request together with its node. */
  endWithNode(): void {
    if (!this.#isOver() && this.#outcome === "") this.#giveUp("node_stops");
  }

  /** One send; whether another one is to follow. */
  async #attempt(): Promise<boolean> {
    if (this.#endIfQuarantined()) return false;
    const place = await this.#finder.find();
    // Another node may have learned of it while this one looked for a place.
    if (this.#isOver() || this.#endIfQuarantined()) {
      place?.release();
      return false;
    }
    if (this.#now() >= this.#endsAt) {
      place?.release();
      this.#timeIsUp();
      return false;
    }
    if (place === undefined) {
      this.#refuse(
        this.#isEngine ? "no_engine" : "no_server",
        this.#finder.comeBackAfter,
      );
      return false;
    }
    this.#placedAfter ??= elapsed(this.#request.arrivedAt, this.#now());
    const end = await this.#sender.send(place);
    place.release();
    this.#broke = end.kind === "broken" ? end.detail : undefined;
    this.#ranFor = end.kind === "broken"
      ? this.#passage.ranFor(this.#now())
      : undefined;
    if (this.#isOver()) return false;
    return this.#judge(place.server, end);
  }

  /** Decides what follows the end of a send; whether another send does. */
  #judge(server: RegisteredServer, end: CallEnd): boolean {
    const { verdict } = this.#passage;
    if (
      end.kind === "complete" && verdict === "passed" &&
      this.#passage.isKnownWhole
    ) {
      this.#passage.finish();
      this.#parts.crashes.served(this.#request.content);
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
    if (mayRunAgain(this.#request) && this.#tryAgain()) return true;
    if (end.kind === "complete" && this.#passage.hasFailure) {
      this.#passage.passFailure();
      this.#outcome = "server_failure";
      return false;
    }
    return this.#refuse("lost");
  }

  #noteMisdirected(server: RegisteredServer): void {
    // An engine also says so of an adapter that it does not hold.
    if (!this.#isEngine) {
      this.#parts.knowledge.registry.removeReplaced(server.id, server.start);
    }
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

  #endIfQuarantined(): boolean {
    const time = this.#parts.crashes.refusedFor(this.#request.content);
    if (time === undefined) return false;
    this.#giveUp("quarantined", time);
    return true;
  }

  #timeIsUp(): void {
    if (this.#isOver() || this.#outcome !== "") return;
    this.#giveUp(this.#mayHaveRun() ? "time_limit" : "not_run_in_time");
  }

  #giveUp(refusal: RelayRefusal, comeBackAfter?: Duration): void {
    if (this.#passage.hasBegun) this.#breakOff();
    else this.#refuse(refusal, comeBackAfter);
  }

  /** Gives the final answer where no server's answer is passed on. */
  #refuse(refusal: RelayRefusal, comeBackAfter?: Duration): false {
    this.#outcome = refusal;
    const isNotRun = !this.#mayHaveRun();
    const { status, own } = answerRefusal(refusal, { isNotRun, comeBackAfter });
    this.#passage.refuse(status, own);
    this.#end(refusal);
    return false;
  }

  #mayHaveRun(): boolean {
    const { call } = this.#sender;
    const isUnsent = call !== undefined && !call.wasSent;
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
    this.#over.abort(because);
    this.#sender.call?.cut(because);
  }

  #isOver(): boolean {
    return this.#over.signal.aborted;
  }

  get #endsAt(): Instant {
    return endOf(this.#request, this.#parts.plannedStop());
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
      RELAY_SENTENCE.requestEnded,
      describeEnd(this.#request, {
        outcome: this.#outcome,
        server: this.#sent.lastServer,
        sends: this.#sent.sends,
        runs: this.#sent.runs,
        framing: this.#passage.framing,
        broke: this.#broke,
        ranFor: this.#ranFor,
        asked: this.#finder.asked,
        limitedFor: this.#finder.comeBackAfter,
        placedAfter: this.#placedAfter,
        firstAfter: this.#passage.firstAfter,
        took,
        stoppingFor: this.#stoppingFor,
        configuration: this.#parts.knowledge.routes?.configuration.version,
      }),
    );
  }
}
