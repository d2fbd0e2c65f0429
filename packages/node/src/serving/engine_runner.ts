import {
  type AdapterReference,
  attemptNumber,
  EngineController,
  type EngineDecision,
  type EngineId,
  type Failure,
  type FencingNumber,
  milliseconds,
  type RequestId,
} from "@foxtailwind/core";
import {
  type EngineClient,
  type GenerationEnd,
  type GenerationFrame,
  type GenerationHandle,
  GenerationSink,
} from "@foxtailwind/edges";
import { err, type Result } from "neverthrow";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { PartLogger } from "../logging/part_logger.ts";
import type { GenerationRequest } from "./generation_request.ts";

const ORDER_EXPIRY_MILLISECONDS = 2_000;
const TICK_MILLISECONDS = 50;
const CHARACTERS_PER_TOKEN = 4;

interface Held {
  readonly generation: GenerationRequest;
  readonly sink: GenerationSink;
  handle: GenerationHandle | undefined;
}

/** Carries out an engine controller's decisions on the engine. */
export class EngineRunner {
  readonly #engine: EngineId;
  readonly #client: EngineClient;
  readonly #controller: EngineController;
  readonly #clock: SteadyClock;
  readonly #logger: PartLogger;
  readonly #fencing: () => FencingNumber;
  readonly #held = new Map<RequestId, Held>();
  readonly #timer: NodeJS.Timeout;

  private constructor(
    parts: EngineRunnerParts,
    controller: EngineController,
  ) {
    this.#engine = parts.engine;
    this.#client = parts.client;
    this.#clock = parts.clock;
    this.#logger = parts.logger;
    this.#fencing = parts.fencing;
    this.#controller = controller;
    this.#timer = setInterval(() => {
      this.#act();
    }, TICK_MILLISECONDS);
  }

  /**
   * Reads the engine's state and starts to control it.
   * @param parts What the runner works with.
   * @returns The runner, or why the engine could not be read.
   */
  static async start(
    parts: EngineRunnerParts,
  ): Promise<Result<EngineRunner, Failure>> {
    const state = await parts.client.readState();
    return state.map((found) =>
      new EngineRunner(parts, new EngineController(found, found.resident))
    );
  }

  /**
   * Queues a request; its answer goes to the sink.
   * @param generation The request.
   * @param sink Receives the answer.
   */
  submit(generation: GenerationRequest, sink: GenerationSink): void {
    if (this.#resumeRunning(generation, sink)) return;
    const now = this.#clock.now();
    this.#held.set(generation.request, {
      generation,
      sink,
      handle: undefined,
    });
    this.#controller.submit(now, {
      request: generation.request,
      adapter: generation.adapter,
      class: generation.class,
      tenant: generation.tenant,
      firstTokenTarget: generation.firstTokenTarget,
      waitedBefore: milliseconds(now - generation.arrivedAt),
      promptTokens: estimatePromptTokens(generation),
      maximumTokens: generation.maximumTokens,
    });
    this.#act();
  }

  /**
   * Withdraws or cancels a request.
   * @param request The request.
   */
  cancel(request: RequestId): void {
    const held = this.#held.get(request);
    if (held === undefined) return;
    if (held.handle !== undefined) {
      held.handle.cancel();
      return;
    }
    if (this.#controller.withdraw(request)) {
      this.#end(request, err(this.#failure("cancelled", "Caller left.")));
    }
  }

  /**
   * Stops reading a request's stream from the engine, where it runs.
   * @param request The request.
   */
  pause(request: RequestId): void {
    this.#held.get(request)?.handle?.pause();
  }

  /**
   * Reads a request's stream on.
   * @param request The request.
   */
  unpause(request: RequestId): void {
    this.#held.get(request)?.handle?.unpause();
  }

  /** Stops deciding; requests in progress go on. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #act(): void {
    for (const decision of this.#controller.decide(this.#clock.now())) {
      this.#carryOut(decision);
    }
  }

  #carryOut(decision: EngineDecision): void {
    switch (decision.kind) {
      case "dispatch":
        this.#dispatch(decision.request, decision.priority);
        break;
      case "load":
        void this.#load(decision.adapter);
        break;
      case "evict":
        void this.#evict(decision.adapter);
        break;
      case "refuse":
        this.#end(
          decision.request,
          err({
            ...this.#failure("overloaded", "The target cannot be met."),
            retryAfterMilliseconds: decision.retryAfter,
          }),
        );
        break;
    }
  }

  #dispatch(request: RequestId, priority: number): void {
    const held = this.#held.get(request);
    if (held === undefined) return;
    const { generation, sink } = held;
    const runner = new RunningSink(sink, () => {
      if (this.#held.get(request) !== held) return;
      this.#held.delete(request);
      this.#controller.requestEnded(this.#clock.now(), request);
      this.#act();
    });
    held.handle = this.#client.generate({
      request,
      attempt: generation.attempt ?? attemptNumber(1),
      model: generation.model,
      adapter: generation.adapter,
      messages: generation.messages,
      maximumTokens: generation.maximumTokens,
      priority,
      fromSequence: generation.fromSequence ?? 0,
    }, runner);
  }

  /** A resumed stream keeps the place and the pin of the one before. */
  #resumeRunning(generation: GenerationRequest, sink: GenerationSink): boolean {
    const { request, fromSequence = 0 } = generation;
    const running = this.#held.get(request);
    if (fromSequence === 0 || running?.handle === undefined) return false;
    this.#held.set(request, { generation, sink, handle: undefined });
    this.#dispatch(request, 0);
    return true;
  }

  async #load(adapter: AdapterReference): Promise<void> {
    const result = await this.#client.order({
      kind: "load_adapter",
      adapter,
      fencing: this.#fencing(),
      expiresInMilliseconds: ORDER_EXPIRY_MILLISECONDS,
    });
    if (result.isErr()) {
      this.#logger.warn("A load failed.", {
        engine: this.#engine,
        adapter: adapter.adapter,
        reason: result.error.reason,
      });
    }
    this.#controller.loadEnded(this.#clock.now(), {
      adapter,
      loaded: result.isOk(),
    });
    this.#act();
  }

  async #evict(adapter: AdapterReference): Promise<void> {
    await this.#client.order({
      kind: "evict_adapter",
      adapter,
      fencing: this.#fencing(),
      expiresInMilliseconds: ORDER_EXPIRY_MILLISECONDS,
    });
    this.#controller.evictionEnded(adapter);
    this.#act();
  }

  #end(request: RequestId, result: Result<GenerationEnd, Failure>): void {
    const held = this.#held.get(request);
    this.#held.delete(request);
    held?.sink.onEnd(result);
  }

  #failure(reason: Failure["reason"], message: string): Failure {
    return {
      reason,
      step: "dispatch",
      peer: this.#engine,
      message,
      outcome: "not_run",
    };
  }
}

/** What a runner works with. */
export interface EngineRunnerParts {
  readonly engine: EngineId;
  readonly client: EngineClient;
  readonly clock: SteadyClock;
  readonly logger: PartLogger;
  /** Gives the fencing number of orders that are sent now. */
  readonly fencing: () => FencingNumber;
}

class RunningSink extends GenerationSink {
  readonly #sink: GenerationSink;
  readonly #ended: () => void;

  constructor(sink: GenerationSink, ended: () => void) {
    super();
    this.#sink = sink;
    this.#ended = ended;
  }

  override onFrame(frame: GenerationFrame): void {
    this.#sink.onFrame(frame);
  }

  override onEnd(result: Result<GenerationEnd, Failure>): void {
    this.#ended();
    this.#sink.onEnd(result);
  }
}

function estimatePromptTokens(generation: GenerationRequest): number {
  let characters = 0;
  for (const message of generation.messages) {
    characters += message.content.length;
  }
  return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}
