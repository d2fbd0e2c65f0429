import { type EngineId, engineId } from "@foxtailwind/core";
import type { EngineClient } from "@foxtailwind/edges";
import { setTimeout as sleep } from "node:timers/promises";
import type { PartLogger } from "../logging/part_logger.ts";
import type { VmDirectory, VmOfRole } from "../platform/vm_directory.ts";

const POLL_MILLISECONDS = 500;

/** Where the engines that this node controls stand. */
export interface ControlledEngines {
  /** The controllers that run here. */
  readonly controllers: Iterable<{ readonly engine: EngineId }>;
  /** Brings waiting requests elsewhere; those in progress go on. */
  stopControlling(engine: EngineId): void;
}

/** What the watch works with. */
export interface LeavingEnginesParts {
  readonly directory: VmDirectory;
  readonly engines: ControlledEngines;
  readonly engineClient: (vm: VmOfRole<"engine">) => EngineClient;
  readonly logger: PartLogger;
}

/**
 * Takes new work away from engines that leave, whether the VM list or the
 * engine itself says so first.
 */
export class LeavingEngines {
  readonly #parts: LeavingEnginesParts;
  #isStopped = false;

  /** @param parts What the watch works with. */
  constructor(parts: LeavingEnginesParts) {
    this.#parts = parts;
    parts.directory.onChange(() => {
      this.#releaseLeaving();
    });
  }

  /** Asks the engines controlled here, now and then until {@link stop}. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      await Promise.all(
        this.#controlledVms().map((vm) => this.#pollEngine(vm)),
      );
      await sleep(POLL_MILLISECONDS);
    }
  }

  /** Stops asking. */
  stop(): void {
    this.#isStopped = true;
  }

  async #pollEngine(vm: VmOfRole<"engine">): Promise<void> {
    const state = await this.#parts.engineClient(vm).readState();
    if (this.#isStopped || state.isErr() || !state.value.leaving) return;
    this.#parts.directory.markLeaving(vm.id);
  }

  #controlledVms(): readonly VmOfRole<"engine">[] {
    const held = this.#controlledIds();
    return this.#parts.directory.live("engine")
      .filter((vm) => held.has(engineId(vm.id)));
  }

  #releaseLeaving(): void {
    const held = this.#controlledIds();
    for (const vm of this.#parts.directory.vms) {
      const engine = engineId(vm.id);
      if (vm.state !== "leaving" || !held.has(engine)) continue;
      this.#parts.logger.info("An engine is leaving.", { engine });
      this.#parts.engines.stopControlling(engine);
    }
  }

  #controlledIds(): ReadonlySet<EngineId> {
    const engines = [...this.#parts.engines.controllers];
    return new Set(engines.map(({ engine }) => engine));
  }
}
