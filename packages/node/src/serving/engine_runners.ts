import {
  type EngineController,
  type EngineId,
  engineId,
} from "@foxtailwind/core";
import type { EngineClient } from "@foxtailwind/edges";
import type { VmOfRole } from "../platform/vm_directory.ts";
import { EngineRunner, type EngineRunnerParts } from "./engine_runner.ts";
import type { RequestWithSink } from "./pending_generations.ts";

/** The dependencies of {@link EngineRunners}. */
export interface EngineRunnersParts
  extends Omit<EngineRunnerParts, "engine" | "client"> {
  readonly engineClient: (vm: VmOfRole<"engine">) => EngineClient;
  /** Called before an engine's runner becomes visible. */
  readonly beforeStart: (engine: EngineId) => void;
}

/** The runners of the engines that this node controls. */
export class EngineRunners {
  readonly #parts: EngineRunnersParts;
  readonly #runners = new Map<EngineId, EngineRunner>();
  readonly #starting = new Set<EngineId>();

  /** @param parts The dependencies. */
  constructor(parts: EngineRunnersParts) {
    this.#parts = parts;
  }

  /** The controllers of all runners. */
  get controllers(): Iterable<EngineController> {
    return [...this.#runners.values()].map((runner) => runner.controller);
  }

  /** The controllers of the engines that accept connections. */
  get reachable(): Iterable<EngineController> {
    return [...this.#runners.values()].filter((runner) => runner.isReachable)
      .map((runner) => runner.controller);
  }

  /**
   * Finds an engine's runner.
   * @param engine The engine.
   * @returns The runner, or undefined.
   */
  find(engine: EngineId): EngineRunner | undefined {
    return this.#runners.get(engine);
  }

  /**
   * Starts controlling an engine.
   * @param vm The engine's VM.
   */
  async start(vm: VmOfRole<"engine">): Promise<void> {
    const engine = engineId(vm.id);
    if (this.#runners.has(engine) || this.#starting.has(engine)) return;
    this.#starting.add(engine);
    const { engineClient, logger } = this.#parts;
    this.#parts.beforeStart(engine);
    const runner = await EngineRunner.start({
      ...this.#parts,
      engine,
      client: engineClient(vm),
    });
    if (!this.#starting.delete(engine)) {
      runner.map((started) => started.stop());
      return;
    }
    if (runner.isErr()) {
      const { reason } = runner.error;
      logger.warn("Reading the state of an engine failed.", { engine, reason });
      return;
    }
    this.#parts.beforeStart(engine);
    this.#runners.set(engine, runner.value);
    logger.info("Started controlling an engine.", { engine });
  }

  /**
   * Stops controlling an engine.
   * @param engine The engine.
   * @returns The requests that were waiting.
   */
  stop(engine: EngineId): readonly RequestWithSink[] {
    this.#starting.delete(engine);
    const runner = this.#runners.get(engine);
    if (runner === undefined) return [];
    this.#runners.delete(engine);
    this.#parts.logger.info("Stopped controlling an engine.", {
      engine,
    });
    return runner.stop();
  }

  /** Stops controlling all engines. */
  stopAll(): void {
    for (const engine of [...this.#runners.keys()]) this.stop(engine);
  }
}
