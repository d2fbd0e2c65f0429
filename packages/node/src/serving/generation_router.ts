import {
  adapterKey,
  type EngineId,
  engineId,
  type Failure,
  type FencingNumber,
  type NodeId,
  rendezvousChoice,
} from "@foxtailwind/core";
import type {
  EngineClient,
  GenerationHandle,
  GenerationSink,
  Vm,
} from "@foxtailwind/edges";
import { err } from "neverthrow";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { PartLogger } from "../logging/part_logger.ts";
import type { PeerClients } from "../peers/peer_clients.ts";
import type { VmDirectory, VmOfRole } from "../platform/vm_directory.ts";
import { EngineRunner } from "./engine_runner.ts";
import type { GenerationRequest } from "./generation_request.ts";

/** What the router works with. */
export interface GenerationRouterParts {
  readonly self: NodeId;
  readonly directory: VmDirectory;
  readonly peers: PeerClients;
  readonly clock: SteadyClock;
  readonly logger: PartLogger;
  readonly fencing: () => FencingNumber;
  readonly engineClient: (vm: VmOfRole<"engine">) => EngineClient;
}

/** Brings each request to the controller of the engine that is to run it. */
export class GenerationRouter {
  readonly #parts: GenerationRouterParts;
  readonly #runners = new Map<EngineId, EngineRunner>();
  readonly #starting = new Set<EngineId>();

  constructor(parts: GenerationRouterParts) {
    this.#parts = parts;
    parts.directory.onChange(() => {
      this.#takeOwnEngines();
    });
  }

  /**
   * Routes a request of a caller.
   * @param generation The request.
   * @param sink Receives the answer.
   * @returns The handle of the generation.
   */
  route(
    generation: GenerationRequest,
    sink: GenerationSink,
  ): GenerationHandle {
    const engine = this.#home(generation);
    if (engine === undefined) {
      sink.onEnd(err(this.#unavailable(`No engine runs ${generation.model}.`)));
      return FINISHED;
    }
    const owner = this.#ownerOf(engine);
    if (owner === undefined || owner.id === this.#parts.self) {
      return this.runHere(engine, generation, sink);
    }
    return this.#parts.peers.generate(owner, {
      engine,
      generation,
      now: this.#parts.clock.now(),
    }, sink);
  }

  /**
   * Queues a request at an engine that this node controls.
   * @param engine The engine.
   * @param generation The request.
   * @param sink Receives the answer.
   * @returns The handle of the generation.
   */
  runHere(
    engine: EngineId,
    generation: GenerationRequest,
    sink: GenerationSink,
  ): GenerationHandle {
    const runner = this.#runners.get(engine);
    if (runner === undefined) {
      sink.onEnd(err(this.#unavailable(`Engine ${engine} is not held here.`)));
      return FINISHED;
    }
    runner.submit(generation, sink);
    const { request } = generation;
    return {
      pause() {
        runner.pause(request);
      },
      unpause() {
        runner.unpause(request);
      },
      cancel() {
        runner.cancel(request);
      },
    };
  }

  /** Stops deciding for all engines. */
  stop(): void {
    for (const runner of this.#runners.values()) runner.stop();
  }

  #home(generation: GenerationRequest): EngineId | undefined {
    const candidates = this.#parts.directory.live("engine")
      .filter((vm) => vm.role.model === generation.model)
      .map((vm) => engineId(vm.id));
    return rendezvousChoice(adapterKey(generation.adapter), candidates);
  }

  #ownerOf(engine: EngineId): Vm | undefined {
    const nodes = this.#parts.directory.live("entry");
    const chosen = rendezvousChoice(engine, nodes.map((vm) => vm.id));
    return nodes.find((vm) => vm.id === chosen);
  }

  #takeOwnEngines(): void {
    for (const vm of this.#parts.directory.live("engine")) {
      const engine = engineId(vm.id);
      const owner = this.#ownerOf(engine);
      if (owner?.id !== this.#parts.self) continue;
      if (this.#runners.has(engine) || this.#starting.has(engine)) continue;
      this.#starting.add(engine);
      void this.#startRunner(engine, vm);
    }
  }

  async #startRunner(
    engine: EngineId,
    vm: VmOfRole<"engine">,
  ): Promise<void> {
    const runner = await EngineRunner.start({
      engine,
      client: this.#parts.engineClient(vm),
      clock: this.#parts.clock,
      logger: this.#parts.logger,
      fencing: this.#parts.fencing,
    });
    this.#starting.delete(engine);
    if (runner.isErr()) {
      this.#parts.logger.warn("An engine could not be read.", {
        engine,
        reason: runner.error.reason,
      });
      return;
    }
    this.#runners.set(engine, runner.value);
    this.#parts.logger.info("An engine is controlled here.", { engine });
  }

  #unavailable(message: string): Failure {
    return {
      reason: "unavailable",
      step: "route",
      peer: this.#parts.self,
      message,
      outcome: "not_run",
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    };
  }
}

const RETRY_AFTER_MILLISECONDS = 1_000;

const FINISHED: GenerationHandle = {
  pause() {},
  unpause() {},
  cancel() {},
};
