import {
  type EngineController,
  type EngineId,
  engineId,
} from "@foxtailwind/core";
import type { EngineClient } from "@foxtailwind/edges";
import type { VmOfRole } from "../platform/vm_directory.ts";
import { EngineRunner, type EngineRunnerParts } from "./engine_runner.ts";
import type { RequestWithSink } from "./pending_generations.ts";

/** What runners are started with. */
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

  /** @param parts What runners are started with. */
  constructor(parts: EngineRunnersParts) {
    this.#parts = parts;
  }

  /** The controllers of all runners. */
  get controllers(): Iterable<EngineController> {
    return [...this.#runners.values()].map((runner) => runner.controller);
  }

  /** The controllers of the engines that take connections. */
  get reachable(): Iterable<EngineController> {
    return [...this.#runners.values()].filter((runner) => runner.isReachable)
      .map((runner) => runner.controller);
  }

  /**
   * Finds an engine's runner.
   * @param engine The engine.
   * @returns The runner, or nothing.
   */
  find(engine: EngineId): EngineRunner | undefined {
    return this.#runners.get(engine);
  }

  /**
   * Starts to control an engine.
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
      logger.warn("An engine could not be read.", { engine, reason });
      return;
    }
    this.#parts.beforeStart(engine);
    this.#runners.set(engine, runner.value);
    logger.info("An engine is controlled here.", { engine });
  }

  /**
   * Stops controlling an engine.
   * @param engine The engine.
   * @returns The requests that waited.
   */
  stop(engine: EngineId): readonly RequestWithSink[] {
    this.#starting.delete(engine);
    const runner = this.#runners.get(engine);
    if (runner === undefined) return [];
    this.#runners.delete(engine);
    this.#parts.logger.info("An engine is controlled here no more.", {
      engine,
    });
    return runner.stop();
  }

  /** Stops controlling all engines. */
  stopAll(): void {
    for (const engine of [...this.#runners.keys()]) this.stop(engine);
  }
}
