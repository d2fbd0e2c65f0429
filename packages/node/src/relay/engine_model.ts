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

/** Between two orders to load a base model: longer than a load takes. */
const MODEL_PAUSE = milliseconds(2_500);

/** The base model of one engine, which adapters need. */
export class EngineModel {
  readonly #server: RegisteredServer;
  readonly #knowledge: Knowledge;
  readonly #orders: EngineOrders;
  #held: readonly ModelId[];
  #orderedAt: Instant | undefined;

  /**
   * @param server The engine, with the models that it is known to hold.
   * @param knowledge Tells which model it should hold.
   * @param orders Orders the engine.
   */
  constructor(
    server: RegisteredServer,
    knowledge: Knowledge,
    orders: EngineOrders,
  ) {
    this.#server = server;
    this.#knowledge = knowledge;
    this.#orders = orders;
    this.#held = server.models.map((held) => held.model);
  }

  /** Whether the engine holds a model. */
  get isThere(): boolean {
    return this.#held.length > 0;
  }

  /**
   * Takes what the engine reports.
   * @param models The models that it holds.
   */
  reported(models: readonly ModelId[]): void {
    this.#held = models;
  }

  /**
   * Orders the model, unless that was done just now.
   * @param now The present time.
   * @param right The right to order.
   * @returns Whether there is a model to be loaded.
   */
  async load(now: Instant, right: OrderPermission): Promise<boolean> {
    const service = this.#knowledge.routes?.service(this.#server.service);
    const model = service?.engine?.models[0]?.model;
    if (model === undefined) return false;
    const isAllowed = this.#orderedAt === undefined ||
      later(this.#orderedAt, MODEL_PAUSE) <= now;
    if (isAllowed) {
      this.#orderedAt = now;
      await this.#orders.loadModel(model, right);
    }
    return true;
  }
}
