import { type EngineId, engineId } from "@foxtailwind/core";
import type { EngineClient } from "@foxtailwind/edges";
import { setTimeout as sleep } from "node:timers/promises";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { VmDirectory, VmOfRole } from "../platform/vm_directory.ts";

const POLL_MILLISECONDS = 500;

/** The engines that this node controls. */
export interface ControlledEngines {
  /** The controllers that run on this node. */
  readonly controllers: Iterable<{ readonly engine: EngineId }>;
  /** Moves waiting requests elsewhere; those in progress continue. */
  stopControlling(engine: EngineId): void;
}

/** The dependencies of {@link LeavingEngines}. */
export interface LeavingEnginesParts {
  readonly directory: VmDirectory;
  readonly engines: ControlledEngines;
  readonly engineClient: (vm: VmOfRole<"engine">) => EngineClient;
  readonly logger: ComponentLogger;
}

/**
 * Stops new work on leaving engines, whether the VM list or the engine itself
 * reports first that it leaves.
 */
export class LeavingEngines {
  readonly #parts: LeavingEnginesParts;
  #isStopped = false;

  /** @param parts The dependencies. */
  constructor(parts: LeavingEnginesParts) {
    this.#parts = parts;
    parts.directory.onChange(() => {
      this.#releaseLeaving();
    });
  }

  /** Polls the engines controlled here until {@link stop}. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      await Promise.all(
        this.#controlledVms().map((vm) => this.#pollEngine(vm)),
      );
      await sleep(POLL_MILLISECONDS);
    }
  }

  /** Stops polling. */
  stop(): void {
    this.#isStopped = true;
  }

  async #pollEngine(vm: VmOfRole<"engine">): Promise<void> {
    const state = await this.#parts.engineClient(vm).readState();
    if (this.#isStopped || state.isErr() || !state.value.leaving) return;
    this.#parts.directory.markLeaving(vm.id);
  }

  #controlledVms(): readonly VmOfRole<"engine">[] {
    const controlled = this.#controlledIds();
    return this.#parts.directory.live("engine")
      .filter((vm) => controlled.has(engineId(vm.id)));
  }

  #releaseLeaving(): void {
    const controlled = this.#controlledIds();
    for (const vm of this.#parts.directory.vms) {
      const engine = engineId(vm.id);
      if (vm.state !== "leaving" || !controlled.has(engine)) continue;
      this.#parts.logger.info("An engine is leaving.", { engine });
      this.#parts.engines.stopControlling(engine);
    }
  }

  #controlledIds(): ReadonlySet<EngineId> {
    const engines = [...this.#parts.engines.controllers];
    return new Set(engines.map(({ engine }) => engine));
  }
}
