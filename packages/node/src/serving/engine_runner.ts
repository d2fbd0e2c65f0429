import {
  adapterKey,
  type AdapterReference,
  attemptNumber,
  DemandTracker,
  EngineController,
  type EngineDecision,
  type EngineId,
  type Failure,
  type FencingNumber,
  LoadPermitLedger,
  milliseconds,
  type RequestId,
  ResidenceIndex,
} from "@foxtailwind/core";
import {
  type EngineClient,
  type EngineState,
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
const CAUTIOUS_LIMITS = { loadsPerSecond: 0.5, concurrentLoads: 1 };

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
  readonly #demand: DemandTracker;
  readonly #ledger: LoadPermitLedger;
  readonly #clock: SteadyClock;
  readonly #logger: PartLogger;
  readonly #fencing: () => FencingNumber;
  readonly #held = new Map<RequestId, Held>();
  readonly #timer: NodeJS.Timeout;

  private constructor(
    parts: EngineRunnerParts,
    found: EngineState,
  ) {
    this.#demand = new DemandTracker();
    this.#ledger = new LoadPermitLedger(CAUTIOUS_LIMITS);
    this.#controller = new EngineController({
      engine: parts.engine,
      capacity: found,
      index: new ResidenceIndex(),
      demand: this.#demand,
      loads: this.#ledger,
    });
    this.#controller.takeIn(parts.clock.now(), found);
    this.#controller.showIdle(new Set());
    this.#engine = parts.engine;
    this.#client = parts.client;
    this.#clock = parts.clock;
    this.#logger = parts.logger;
    this.#fencing = parts.fencing;
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
    return state.map((found) => new EngineRunner(parts, found));
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
    this.#demand.arrived(now, {
      key: adapterKey(generation.adapter),
      adapter: generation.adapter,
      target: generation.firstTokenTarget,
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
    const now = this.#clock.now();
    this.#takePermits();
    for (const decision of this.#controller.decide(now)) {
      this.#carryOut(decision);
    }
  }

  #takePermits(): void {
    const now = this.#clock.now();
    if (!this.#ledger.hasRoom(now)) return;
    const wishes = this.#controller.wishes(now, []);
    this.#ledger.offer(now, this.#engine, wishes);
    const permit = this.#ledger.grant(now);
    if (permit === undefined) return;
    if (this.#controller.usePermit(now, permit.adapter)) return;
    this.#ledger.finished(now, { ...permit, loaded: false });
  }

  #carryOut(decision: EngineDecision): void {
    switch (decision.kind) {
      case "dispatch":
        this.#dispatch(decision.request, decision.priority);
        break;
      case "preempt":
        // The engine itself puts work of lower priority aside.
        break;
      case "return_permit":
        this.#loadFinished(decision.adapter, false);
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
    if (held.handle !== undefined) return;
    const { generation, sink } = held;
    let tokens = 0;
    const runner = new RunningSink(sink, (generated) => {
      tokens = generated;
      if (this.#held.get(request) !== held) return;
      this.#held.delete(request);
      this.#controller.requestEnded(this.#clock.now(), request, tokens);
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
    this.#loadFinished(adapter, result.isOk());
    this.#controller.loadEnded(this.#clock.now(), {
      adapter,
      loaded: result.isOk(),
    });
    this.#act();
  }

  #loadFinished(adapter: AdapterReference, loaded: boolean): void {
    const key = adapterKey(adapter);
    const load = { engine: this.#engine, key, loaded };
    this.#ledger.finished(this.#clock.now(), load);
  }

  async #evict(adapter: AdapterReference): Promise<void> {
    const result = await this.#client.order({
      kind: "evict_adapter",
      adapter,
      fencing: this.#fencing(),
      expiresInMilliseconds: ORDER_EXPIRY_MILLISECONDS,
    });
    this.#controller.evictionEnded(this.#clock.now(), {
      adapter,
      evicted: result.isOk(),
    });
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
  readonly #ended: (generatedTokens: number) => void;
  #tokens = 0;

  constructor(sink: GenerationSink, ended: (generated: number) => void) {
    super();
    this.#sink = sink;
    this.#ended = ended;
  }

  override onFrame(frame: GenerationFrame): void {
    this.#tokens += frame.tokens.length;
    this.#sink.onFrame(frame);
  }

  override onEnd(result: Result<GenerationEnd, Failure>): void {
    this.#ended(this.#tokens);
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
