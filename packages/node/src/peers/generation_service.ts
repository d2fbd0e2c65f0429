import { engineId, type Failure, type RequestId } from "@foxtailwind/core";
import {
  type AdapterReference,
  type GenerationEnd,
  type GenerationFrame,
  type GenerationHandle,
  GenerationSink,
} from "@foxtailwind/edges";
import {
  type Answer,
  type Command,
  type GenerateRequest,
  PeerService,
  type ToController,
  type ToEntry,
} from "@foxtailwind/protocol";
import type { ServerDuplexStream } from "@grpc/grpc-js";
import type { Result } from "neverthrow";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { WorkInProgress } from "../drain/mod.ts";
import type { GenerationRouter } from "../serving/generation_router.ts";
import { toFailureMessage } from "./failure_message.ts";
import { fromGenerateRequest } from "./generate_message.ts";
import { HandOverOutbox } from "./hand_over_outbox.ts";
import type { PeerRegistration } from "./peer_server.ts";

/** How long a request keeps running for an entry node that may reconnect. */
const RESUME_GRACE_MILLISECONDS = 3_000;

/** How long a peer has to end a call that is asked to close. */
const DRAIN_GRACE_MILLISECONDS = 1_000;

type HandOverCall = ServerDuplexStream<ToController, ToEntry>;

/** Runs requests that are handed over to this node. */
export type HandOverRunner = Pick<GenerationRouter, "runHere">;

/** The dependencies of the generation service. */
export interface GenerationServiceParts {
  readonly router: HandOverRunner;
  readonly clock: SteadyClock;
  readonly work: WorkInProgress;
}

/**
 * Creates the service through which peers hand over requests for engines that
 * this node controls.
 * @param parts The dependencies.
 * @returns The gRPC service to register.
 */
export function createGenerationService(
  parts: GenerationServiceParts,
): PeerRegistration {
  const sessions = new Set<HandOverSession>();
  return {
    definition: PeerService,
    implementation: {
      handOver(call: HandOverCall) {
        const session = new HandOverSession(call, parts);
        sessions.add(session);
        call.on("close", () => sessions.delete(session));
        session.start();
      },
    },
    drain() {
      for (const session of sessions) session.drain();
    },
  };
}

/** The requests that one peer hands over through one call. */
class HandOverSession {
  readonly #call: HandOverCall;
  readonly #parts: GenerationServiceParts;
  readonly #lanes = new Map<number, Lane>();
  readonly #outbox: HandOverOutbox;
  #isDisconnected = false;
  #isDraining = false;

  constructor(call: HandOverCall, parts: GenerationServiceParts) {
    this.#call = call;
    this.#parts = parts;
    this.#outbox = new HandOverOutbox(
      { write: (batch) => this.#isDisconnected || call.write(batch) },
      (blocked) => {
        for (const lane of this.#lanes.values()) lane.setPeerBlocked(blocked);
      },
    );
  }

  start(): void {
    const call = this.#call;
    call.on("data", (batch: ToController) => {
      for (const command of batch.commands) this.#execute(command);
    });
    call.on("drain", () => {
      this.#outbox.drained();
    });
    call.on("cancelled", () => {
      this.#handleDisconnect();
    });
    call.on("error", () => {
      this.#handleDisconnect();
    });
    call.on("end", () => {
      this.#handleDisconnect();
      call.end();
    });
    call.write({ ready: true, closing: false, answers: [] });
  }

  /** Asks the peer to end the call, and ends it if the peer does not. */
  drain(): void {
    this.#isDraining = true;
    this.#call.write({ ready: false, closing: true, answers: [] });
    this.#endIfDrained();
  }

  #endIfDrained(): void {
    if (!this.#isDraining || this.#lanes.size > 0) return;
    setTimeout(() => {
      if (this.#lanes.size === 0) this.#call.end();
    }, DRAIN_GRACE_MILLISECONDS).unref();
  }

  #execute({ lane: number, part }: Command): void {
    switch (part?.$case) {
      case "generate":
        this.#generate(number, part.value);
        break;
      case "paused":
        this.#lanes.get(number)?.setCallerPaused(part.value);
        break;
      case "cancel":
        this.#lanes.get(number)?.cancel();
        break;
      case undefined:
        break;
    }
  }

  #generate(number: number, message: GenerateRequest): void {
    const { router, clock, work } = this.#parts;
    const end = work.begin();
    const generation = fromGenerateRequest(message, clock.now());
    const lane = new Lane({
      number,
      request: generation.request,
      outbox: this.#outbox,
      onFinished: () => {
        this.#lanes.delete(number);
        end();
        this.#endIfDrained();
      },
    });
    this.#lanes.set(number, lane);
    lane.attach(router.runHere(engineId(message.engine), generation, lane));
    if (this.#outbox.blocked) lane.setPeerBlocked(true);
  }

  /** Cancels the requests unless the entry node reconnects to resume them. */
  #handleDisconnect(): void {
    if (this.#isDisconnected) return;
    this.#isDisconnected = true;
    for (const lane of this.#lanes.values()) {
      lane.setPeerBlocked(false);
      lane.setCallerPaused(false);
    }
    setTimeout(() => {
      for (const lane of this.#lanes.values()) lane.cancel();
    }, RESUME_GRACE_MILLISECONDS).unref();
  }
}

interface LaneParts {
  readonly number: number;
  readonly request: RequestId;
  readonly outbox: HandOverOutbox;
  readonly onFinished: () => void;
}

/** One request of a session; writes its answer to the session's outbox. */
class Lane extends GenerationSink {
  readonly #parts: LaneParts;
  #handle: GenerationHandle | undefined;
  #adapter: AdapterReference | undefined;
  #isPeerBlocked = false;
  #isCallerPaused = false;

  constructor(parts: LaneParts) {
    super();
    this.#parts = parts;
  }

  attach(handle: GenerationHandle): void {
    this.#handle = handle;
  }

  setPeerBlocked(blocked: boolean): void {
    this.#isPeerBlocked = blocked;
    this.#applyPause();
  }

  setCallerPaused(paused: boolean): void {
    this.#isCallerPaused = paused;
    this.#applyPause();
  }

  cancel(): void {
    this.#handle?.cancel();
  }

  override onFrame(frame: GenerationFrame): void {
    const { outbox, number, request } = this.#parts;
    outbox.pushFrame(number, frame, { request, adapter: this.#adapter });
    this.#adapter = frame.adapter;
  }

  override onEnd(result: Result<GenerationEnd, Failure>): void {
    const part: Answer["part"] = result.match(
      (end) => ({ $case: "end", value: end }),
      (failure) => ({ $case: "failure", value: toFailureMessage(failure) }),
    );
    const { outbox, number, onFinished } = this.#parts;
    outbox.push({ lane: number, part });
    onFinished();
  }

  #applyPause(): void {
    if (this.#isPeerBlocked || this.#isCallerPaused) this.#handle?.pause();
    else this.#handle?.unpause();
  }
}
