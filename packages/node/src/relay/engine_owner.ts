import {
  type EngineSpecification,
  EngineStart,
  type RegisteredServer,
  type ServerStart,
} from "@foxtailwind/core";
import type { EngineDigest } from "@foxtailwind/protocol";
import type { EngineOwnerParts } from "./engine_owner_parts.ts";
import { EngineRun } from "./engine_run.ts";
import type { UseAnswer, UseRequest } from "./engine_use.ts";

/**
 * Orders one engine while this node has the right to, from one start of the
 * engine to the next: what is known of a start ends with it.
 */
export class EngineOwner {
  readonly #parts: EngineOwnerParts;
  readonly #terms: EngineSpecification;
  readonly #start: EngineStart;
  #server: RegisteredServer;
  #run: EngineRun;

  /**
   * @param server The engine.
   * @param terms What it can hold.
   * @param parts What the owner works with.
   */
  constructor(
    server: RegisteredServer,
    terms: EngineSpecification,
    parts: EngineOwnerParts,
  ) {
    this.#server = server;
    this.#terms = terms;
    this.#parts = parts;
    this.#start = new EngineStart(server.start);
    this.#run = this.#begin(server);
  }

  /** What other nodes are told of the engine. */
  get digest(): EngineDigest {
    return this.#run.digest;
  }

  /**
   * Takes a newer description of the engine.
   * @param server The engine.
   */
  update(server: RegisteredServer): void {
    this.#server = server;
    if (this.#start.applyRegistered(server.start)) this.#restarted();
    else this.#run.update(server);
  }

  /**
   * Asks for the use of an adapter or of a base model.
   * @param request What is to be used.
   * @param signal Ends the wait.
   * @returns The answer.
   */
  use(request: UseRequest, signal: AbortSignal): Promise<UseAnswer> {
    return this.#run.use(request, signal);
  }

  /**
   * Takes note that the engine lacked what a use was granted of: it may have
   * started again.
   */
  missed(): void {
    this.#run.missed();
  }

  /** Gives up the engine: nobody waits here any more. */
  stop(): void {
    this.#run.stop();
  }

  /** Carries out what is due; called by itself when more becomes due. */
  async pump(): Promise<void> {
    await this.#run.pump();
  }

  #begin(server: RegisteredServer): EngineRun {
    return new EngineRun(server, this.#terms, {
      ...this.#parts,
      start: () => this.#start.current,
      isBelieved: (start) => this.#isBelieved(start),
    });
  }

  /** Begins anew with an engine that holds nothing that is known. */
  #restarted(): void {
    const before = this.#run;
    this.#run = this.#begin({ ...this.#server, models: [] });
    this.#parts.logger.info("An engine has started again.", {
      engine: this.#server.id,
      start: this.#start.current,
    });
    before.end();
    void this.#run.pump();
  }

  /** Whether a report is of the start that is known. */
  #isBelieved(start: ServerStart | undefined): boolean {
    const before = this.#start.current;
    const news = this.#start.applyReported(start);
    switch (news) {
      case "current":
        return true;
      case "late":
        this.#parts.logger.warn("A report of an older start is left out.", {
          engine: this.#server.id,
          start,
          known: before,
        });
        return false;
      case "restarted":
        this.#restarted();
        return false;
    }
  }
}
