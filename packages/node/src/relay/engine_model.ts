import {
  type EngineMemory,
  type Instant,
  later,
  milliseconds,
  type ModelId,
  type OrderPermission,
  type RegisteredServer,
} from "@foxtailwind/core";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { EngineOrders } from "./engine_orders.ts";

/** Time between two orders to load a base model; longer than a load takes. */
const MODEL_LOAD_INTERVAL = milliseconds(2_500);

/** The dependencies of {@link EngineModel}. */
export interface EngineModelParts {
  /** The engine's memory, which is told of the models in it. */
  readonly memory: EngineMemory;
  readonly logger: ComponentLogger;
}

/** The base model of one engine, which its adapters need. */
export class EngineModel {
  readonly #server: RegisteredServer;
  readonly #orders: EngineOrders;
  readonly #parts: EngineModelParts;
  #loadedModels: readonly ModelId[] = [];
  #lastOrderedAt: Instant | undefined;
  #isUnfitLogged = false;

  /**
   * @param server The engine, with the models that it is known to hold.
   * @param orders Sends orders to the engine.
   * @param parts The dependencies.
   */
  constructor(
    server: RegisteredServer,
    orders: EngineOrders,
    parts: EngineModelParts,
  ) {
    this.#server = server;
    this.#orders = orders;
    this.#parts = parts;
    this.applyReport(server.models.map((held) => held.model));
  }

  /** Whether the engine has loaded a model. */
  get isLoaded(): boolean {
    return this.#loadedModels.length > 0;
  }

  /**
   * Applies the engine's report.
   * @param models The models that the engine holds.
   */
  applyReport(models: readonly ModelId[]): void {
    this.#loadedModels = models;
    this.#parts.memory.recordModels(models);
  }

  /**
   * Orders the model to be loaded, unless that was ordered a short time ago.
   * @param now The present time.
   * @param permission The permission to send orders.
   * @returns Whether a model that fits is configured for the engine.
   */
  async load(now: Instant, permission: OrderPermission): Promise<boolean> {
    const model = this.#parts.memory.loadableModel();
    if (model === undefined) {
      this.#logUnfit();
      return false;
    }
    const isDue = this.#lastOrderedAt === undefined ||
      later(this.#lastOrderedAt, MODEL_LOAD_INTERVAL) <= now;
    if (isDue) {
      this.#lastOrderedAt = now;
      await this.#orders.loadModel(model, permission);
    }
    return true;
  }

  #logUnfit(): void {
    if (this.#isUnfitLogged) return;
    this.#isUnfitLogged = true;
    this.#parts.logger.error("No configured model fits on an engine.", {
      engine: this.#server.id,
      service: this.#server.service,
    });
  }
}
