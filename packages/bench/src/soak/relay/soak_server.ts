import { type ServerStart, serverStart } from "@foxtailwind/core";
import type { Socket } from "node:net";
import { planAnswer } from "./answer_plan.ts";
import {
  type PlannedAnswer,
  repeatLastAnswer,
  writeAnswer,
} from "./answer_writer.ts";
import { type RawRequest, RawServer } from "./raw_server.ts";
import {
  LEAVING_HEADER,
  RETRY_AFTER_HEADER,
  START_HEADER,
} from "../../relay/stand_in_wire.ts";
import { SEND_HEADER, takeSendTimes } from "./send_times.ts";
import { SENDER_HEADER } from "./sender_wire.ts";
import { hasRun, type RelayRecord, type SendRecord } from "./relay_record.ts";

/** What a server works with. */
export interface SoakServerParts {
  readonly seed: number;
  readonly record: RelayRecord;
  /** The version of its software. */
  readonly software: string;
}

const OK = 200;
const FAILED = 500;
const UNAVAILABLE = 503;
const MISDIRECTED = 421;

/** A backend server that does what the seed says with each send. */
export abstract class SoakServer {
  readonly id: string;
  readonly service: string;
  /** Whether this start announces its departure in all its answers. */
  isLeaving = false;
  readonly #parts: SoakServerParts;
  #start = serverStart(1);
  #software: string;
  readonly #server = new RawServer((request, socket) => {
    void this.#take(request, socket);
  });

  /**
   * @param id Its id.
   * @param service Its service.
   * @param parts What it works with.
   */
  constructor(id: string, service: string, parts: SoakServerParts) {
    this.id = id;
    this.service = service;
    this.#parts = parts;
    this.#software = parts.software;
  }

  /**
   * Starts to listen on loopback.
   * @returns The address.
   */
  listen(): Promise<string> {
    return this.#server.listen();
  }

  /** Its present start. */
  get start(): ServerStart {
    return this.#start;
  }

  /** The version of the software that it runs. */
  get software(): string {
    return this.#software;
  }

  /** Ends at once. */
  crash(): void {
    this.#server.crash();
  }

  /**
   * Ends at once, and starts again under its id and at its address.
   * @param software The new version of its software, if it is another one.
   */
  restart(software = this.#software): void {
    this.#software = software;
    this.#start = serverStart(this.#start + 1);
    this.isLeaving = false;
    this.#server.reset();
  }

  /** Called when a request begins to run. */
  protected onRun: (request: RawRequest) => void = () => undefined;

  /**
   * Begins to run a request.
   * @param request The request.
   * @returns What it answers, or nothing where it can't serve it.
   */
  protected abstract begin(request: RawRequest): Run | undefined;

  async #take(request: RawRequest, socket: Socket): Promise<void> {
    const { seed, record } = this.#parts;
    const id = request.headers.get("x-id") ?? "";
    const plan = planAnswer(seed, id, record.sendsOf(id).length);
    const start = request.headers.get(START_HEADER);
    const isMeant = request.headers.get("x-server") === this.id &&
      (start === undefined || start === String(this.#start));
    const run = isMeant ? this.begin(request) : undefined;
    const made = run === undefined ? "misdirected" : plan.kind;
    const send: SendRecord = {
      request: id,
      service: this.service,
      server: this.id,
      sentBy: request.headers.get(SENDER_HEADER) ?? "",
      at: performance.now(),
      times: takeSendTimes(request.headers.get(SEND_HEADER) ?? ""),
      made,
      framing: plan.framing,
      ...(run?.version === undefined ? {} : { version: run.version }),
      start: this.start,
      isLeaving: this.isLeaving,
      ...(run === undefined || plan.retryAfter === undefined
        ? {}
        : { retryAfter: plan.retryAfter }),
    };
    record.sent(send);
    if (hasRun(send)) this.onRun(request);
    repeatLastAnswer(socket);
    const answer = run === undefined
      ? refusal(MISDIRECTED, id)
      : answerOf(send, run);
    const noted = {
      ...answer,
      headers: { ...answer.headers, ...noticeHeaders(send) },
      onHead: () => {
        send.headAt = performance.now();
      },
    };
    try {
      const end = await writeAnswer(socket, noted, {
        ...plan,
        ...(run === undefined ? { kind: "refuse", break: "none" } : {}),
        ...(hasRun(send) ? {} : { framing: "length" }),
      });
      send.end = end;
      send.endedAt = performance.now();
    } finally {
      run?.ended();
    }
  }
}

/** A request that a server runs. */
export interface Run {
  readonly pieces: readonly string[];
  readonly isStream: boolean;
  readonly version?: number;
  /** Called once it has ended. */
  readonly ended: () => void;
}

const PAUSE_MILLISECONDS = 12;

/** An answer, without what the server states about further requests. */
type BareAnswer = Omit<PlannedAnswer, "onHead">;

function noticeHeaders(
  { isLeaving, retryAfter }: SendRecord,
): Readonly<Record<string, string>> {
  return {
    ...(isLeaving ? { [LEAVING_HEADER]: "1" } : {}),
    ...(retryAfter === undefined
      ? {}
      : { [RETRY_AFTER_HEADER]: String(retryAfter) }),
  };
}

function answerOf(
  { made, request: id, server }: SendRecord,
  run: Run,
): BareAnswer {
  const type = run.isStream ? "text/event-stream" : "text/plain";
  const headers = { "x-id": id, "x-seal": server, "content-type": type };
  const { pieces } = run;
  const pause = PAUSE_MILLISECONDS;
  switch (made) {
    case "run":
    case "lose":
      return { status: OK, headers, pieces, pause };
    case "refuse":
    case "misdirected":
      return refusal(UNAVAILABLE, id);
    case "refuse_unnamed":
      return refusal(UNAVAILABLE, undefined);
    case "fail":
      return { status: FAILED, headers, pieces: [`failed ${id}`], pause };
    case "foreign": {
      const other = `other-${id}`;
      return {
        status: OK,
        headers: { ...headers, "x-id": other },
        pieces: pieces.map((piece) => piece.replaceAll(id, other)),
        pause,
      };
    }
    case "garble":
      return {
        status: OK,
        headers: { "x-id": id, "content-type": type },
        pieces: pieces.map((piece) => piece.toUpperCase()),
        pause,
      };
  }
}

function refusal(status: number, id: string | undefined): BareAnswer {
  const named = id === undefined ? {} : { "x-id": id };
  return {
    status,
    headers: { "x-not-run": "1", ...named },
    pieces: ["not run"],
    pause: 0,
  };
}

/** A server of a plain service. */
export class PlainSoakServer extends SoakServer {
  protected override begin(request: RawRequest): Run {
    const id = request.headers.get("x-id") ?? "";
    return {
      pieces: plainBody(id),
      isStream: false,
      ended: () => undefined,
    };
  }
}

/**
 * Writes the body of a plain answer.
 * @param id The request's id.
 * @returns Its pieces; the last one has the end mark.
 */
export function plainBody(id: string): readonly string[] {
  return [`begin ${id};`, `middle ${id};`, `more ${id};`, `end ${id}`];
}
