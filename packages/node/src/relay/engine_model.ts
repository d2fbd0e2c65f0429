import {
  type Instant,
  later,
  milliseconds,
  type ModelId,
  type OrderPermission,
  type RegisteredServer,
} from "@foxtailwind/core";
import type { EngineOrders } from "./engine_orders.ts";
import type { Knowledge } from "./knowledge.ts";

/** Time between two orders to load a base model; longer than a load takes. */
const MODEL_LOAD_INTERVAL = milliseconds(2_500);

/** The base model of one engine, which its adapters need. */
export class EngineModel {
  readonly #server: RegisteredServer;
  readonly #knowledge: Knowledge;
  readonly #orders: EngineOrders;
  #loadedModels: readonly ModelId[];
  #lastOrderedAt: Instant | undefined;

  /**
   * @param server The engine, with the models that it is known to hold.
   * @param knowledge The configuration, which names the model to load.
   * @param orders Sends orders to the engine.
   */
  constructor(
    server: RegisteredServer,
    knowledge: Knowledge,
    orders: EngineOrders,
  ) {
    this.#server = server;
    this.#knowledge = knowledge;
    this.#orders = orders;
    this.#loadedModels = server.models.map((held) => held.model);
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
  }

  /**
   * Orders the model to be loaded, unless that was ordered a short time ago.
   * @param now The present time.
   * @param permission The permission to send orders.
   * @returns Whether a model is configured for the engine.
   */
  async load(now: Instant, permission: OrderPermission): Promise<boolean> {
    const service = this.#knowledge.routes?.service(this.#server.service);
    const model = service?.engine?.models[0]?.model;
    if (model === undefined) return false;
    const isDue = this.#lastOrderedAt === undefined ||
      later(this.#lastOrderedAt, MODEL_LOAD_INTERVAL) <= now;
    if (isDue) {
      this.#lastOrderedAt = now;
      await this.#orders.loadModel(model, permission);
    }
    return true;
  }
}
