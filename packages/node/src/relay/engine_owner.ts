import {
  type AdapterName,
  type EngineSpecification,
  EngineStart,
  type ExpectedLoad,
  type RegisteredServer,
  type ServerStart,
} from "@foxtailwind/core";
import type { EngineDigest } from "@foxtailwind/protocol";
import type { EngineOwnerParts } from "./engine_owner_parts.ts";
import { EngineRun } from "./engine_run.ts";
import type { UseAnswer, UseRequest } from "./engine_use.ts";

/**
 * Controls one engine while this node owns it. State that belongs to one start
 * of the engine is kept in an `EngineRun` and discarded on a restart.
 */
export class EngineOwner {
  readonly #parts: EngineOwnerParts;
  readonly #specification: EngineSpecification;
  readonly #start: EngineStart;
  #server: RegisteredServer;
  #run: EngineRun;

  /**
   * @param server The engine.
   * @param specification The engine's capacity.
   * @param parts The dependencies.
   */
  constructor(
    server: RegisteredServer,
    specification: EngineSpecification,
    parts: EngineOwnerParts,
  ) {
    this.#server = server;
    this.#specification = specification;
    this.#parts = parts;
    this.#start = new EngineStart(server.start);
    this.#run = this.#createRun(server);
  }

  /** The digest of the engine that is sent to other nodes. */
  get digest(): EngineDigest {
    return this.#run.digest;
  }

  /**
   * Returns the load of an adapter as expected from earlier ones.
   * @param name The adapter.
   * @param minimumVersion The oldest version allowed.
   * @returns Its source and time.
   */
  expectedLoad(name: AdapterName, minimumVersion: number): ExpectedLoad {
    return this.#run.expectedLoad(name, minimumVersion);
  }

  /**
   * Updates the engine's registry entry.
   * @param server The engine.
   */
  update(server: RegisteredServer): void {
    this.#server = server;
    if (this.#start.applyRegistered(server.start)) this.#handleRestart();
    else this.#run.update(server);
  }

  /**
   * Requests the use of an adapter or a base model.
   * @param request The requested use.
   * @param signal Cancels the request.
   * @returns The answer.
   */
  requestUse(request: UseRequest, signal: AbortSignal): Promise<UseAnswer> {
    return this.#run.requestUse(request, signal);
  }

  /**
   * Records that the engine lacked an adapter or model whose use was granted:
   * it may have restarted.
   */
  recordMiss(): void {
    this.#run.recordMiss();
  }

  /** Stops controlling the engine and refuses waiting requests. */
  stop(): void {
    this.#run.stop();
  }

  /** Runs the steps that are due; later ones are scheduled automatically. */
  async runDueSteps(): Promise<void> {
    await this.#run.runDueSteps();
  }

  #createRun(server: RegisteredServer): EngineRun {
    return new EngineRun(server, this.#specification, {
      ...this.#parts,
      start: () => this.#start.current,
      acceptsReport: (start) => this.#acceptsReport(start),
    });
  }

  /** Starts over with a restarted engine, of which nothing is known yet. */
  #handleRestart(): void {
    const previous = this.#run;
    this.#run = this.#createRun({ ...this.#server, models: [] });
    this.#parts.logger.info("An engine has restarted.", {
      engine: this.#server.id,
      start: this.#start.current,
    });
    previous.end();
    void this.#run.runDueSteps();
  }

  /** Whether a report comes from the current start. */
  #acceptsReport(start: ServerStart | undefined): boolean {
    const previous = this.#start.current;
    const comparison = this.#start.applyReported(start);
    switch (comparison) {
      case "current":
        return true;
      case "late":
        this.#parts.logger.warn("A report of an older start was ignored.", {
          engine: this.#server.id,
          start,
          known: previous,
        });
        return false;
      case "restarted":
        this.#handleRestart();
        return false;
    }
  }
}
