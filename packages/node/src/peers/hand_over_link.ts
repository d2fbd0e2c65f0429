import { attemptNumber, type Failure, requestId } from "@foxtailwind/core";
import type {
  AdapterReference,
  GenerationEnd,
  GenerationHandle,
  GenerationSink,
} from "@foxtailwind/edges";
import type {
  Answer,
  Command,
  End,
  Frame,
  GenerateRequest,
  PeerClient,
  ToController,
  ToEntry,
} from "@foxtailwind/protocol";
import type { ClientDuplexStream } from "@grpc/grpc-js";
import { err, ok, type Result } from "neverthrow";
import { fromFailureMessage } from "./failure_message.ts";
import { fromAdapter } from "./generate_message.ts";

const READY_TIMEOUT_MILLISECONDS = 2_000;

interface Lane {
  readonly number: number;
  readonly message: GenerateRequest;
  readonly sink: GenerationSink;
  adapter: AdapterReference;
  /** Whether the request was written, so that the peer may have received it. */
  sent: boolean;
}

/** Carries all requests that are handed over to a peer through one call. */
export class HandOverLink {
  readonly #peer: string;
  readonly #call: ClientDuplexStream<ToController, ToEntry>;
  readonly #lanes = new Map<number, Lane>();
  readonly #readyTimer: NodeJS.Timeout;
  #commands: Command[] = [];
  #lastLane = 0;
  #isReady = false;
  #isBroken = false;
  #isClosing = false;
  #isFlushScheduled = false;

  /**
   * @param client The client of the peer.
   * @param peer The peer's id, for failures.
   */
  constructor(client: PeerClient, peer: string) {
    this.#peer = peer;
    this.#call = client.handOver();
    this.#call.on("data", (batch: ToEntry) => {
      this.#receive(batch);
    });
    this.#call.on("error", (error) => {
      this.#fail(error.message);
    });
    this.#call.on("end", () => {
      this.#fail("The peer ended the call.");
    });
    this.#call.on("drain", () => {
      this.#flush();
    });
    this.#readyTimer = setTimeout(() => {
      this.#fail("The peer was not ready in time.");
    }, READY_TIMEOUT_MILLISECONDS);
  }

  /** Whether the link accepts new requests. */
  get isUsable(): boolean {
    return !this.#isBroken && !this.#isClosing;
  }

  /** The number of requests in progress. */
  get laneCount(): number {
    return this.#lanes.size;
  }

  /**
   * Hands a request over.
   * @param message The request.
   * @param sink Receives the answer.
   * @returns The handle of the generation.
   */
  generate(message: GenerateRequest, sink: GenerationSink): GenerationHandle {
    this.#lastLane += 1;
    const lane: Lane = {
      number: this.#lastLane,
      message,
      sink,
      adapter: fromAdapter(message.adapter),
      sent: false,
    };
    this.#lanes.set(lane.number, lane);
    this.#push(lane, { $case: "generate", value: message });
    return {
      pause: () => {
        this.#push(lane, { $case: "paused", value: true });
      },
      unpause: () => {
        this.#push(lane, { $case: "paused", value: false });
      },
      cancel: () => {
        this.#cancel(lane);
      },
    };
  }

  /** Closes the call; requests in progress fail. */
  close(): void {
    this.#fail("The link was closed.");
  }

  #cancel(lane: Lane): void {
    if (!this.#lanes.has(lane.number)) return;
    if (lane.sent) {
      this.#push(lane, { $case: "cancel", value: true });
      return;
    }
    this.#commands = this.#commands.filter((command) =>
      command.lane !== lane.number
    );
    this.#end(lane, err(this.#failure(lane, CANCELLED_BEFORE_SENDING)));
  }

  #push(lane: Lane, part: Command["part"]): void {
    if (!this.#lanes.has(lane.number)) return;
    this.#commands.push({ lane: lane.number, part });
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    setImmediate(() => {
      this.#isFlushScheduled = false;
      this.#flush();
    });
  }

  #flush(): void {
    if (!this.#isReady || this.#isBroken || this.#commands.length === 0) return;
    if (this.#call.writableNeedDrain) return;
    const commands = this.#commands;
    this.#commands = [];
    for (const command of commands) this.#markSent(command.lane);
    this.#call.write({ commands });
  }

  #markSent(number: number): void {
    const lane = this.#lanes.get(number);
    if (lane !== undefined) lane.sent = true;
  }

  #receive(batch: ToEntry): void {
    if (batch.ready) this.#markReady();
    for (const answer of batch.answers) this.#receiveAnswer(answer);
    if (batch.closing) this.#isClosing = true;
    this.#endIfDone();
  }

  #endIfDone(): void {
    if (this.#isClosing && this.#lanes.size === 0) this.#call.end();
  }

  #markReady(): void {
    this.#isReady = true;
    clearTimeout(this.#readyTimer);
    this.#flush();
  }

  #receiveAnswer({ lane: number, part }: Answer): void {
    const lane = this.#lanes.get(number);
    if (lane === undefined) return;
    switch (part?.$case) {
      case "frame":
        forwardFrame(lane, part.value);
        break;
      case "end":
        this.#end(lane, ok(toEnd(lane, part.value)));
        break;
      case "failure":
        this.#end(lane, err(fromFailureMessage(part.value)));
        break;
      case undefined:
        break;
    }
  }

  #end(lane: Lane, result: Result<GenerationEnd, Failure>): void {
    if (!this.#lanes.delete(lane.number)) return;
    lane.sink.onEnd(result);
  }

  #fail(message: string): void {
    if (this.#isBroken) return;
    this.#isBroken = true;
    clearTimeout(this.#readyTimer);
    this.#call.cancel();
    for (const lane of [...this.#lanes.values()]) {
      const cause = { reason: "unavailable", message } as const;
      this.#end(lane, err(this.#failure(lane, cause)));
    }
  }

  #failure(lane: Lane, cause: Pick<Failure, "reason" | "message">): Failure {
    return {
      ...cause,
      step: "forward",
      peer: this.#peer,
      outcome: lane.sent ? "unknown" : "not_run",
    };
  }
}

const CANCELLED_BEFORE_SENDING = {
  reason: "cancelled",
  message: "The request was cancelled before it was handed over.",
} as const;

function forwardFrame(lane: Lane, frame: Frame): void {
  if (frame.adapter !== undefined) lane.adapter = fromAdapter(frame.adapter);
  lane.sink.onFrame({
    request: requestId(frame.request || lane.message.request),
    attempt: attemptNumber(frame.attempt),
    sequence: frame.sequence,
    tokens: frame.tokens,
    adapter: lane.adapter,
  });
}

function toEnd(lane: Lane, end: End): GenerationEnd {
  return {
    request: requestId(lane.message.request),
    attempt: attemptNumber(end.attempt),
    finishReason: end.finishReason as GenerationEnd["finishReason"],
    promptTokens: end.promptTokens,
    completionTokens: end.completionTokens,
    cachedPromptTokens: end.cachedPromptTokens,
  };
}
