import {
  type ModelId,
  type NodeId,
  type OrderPermission,
  type RegisteredServer,
  RELAY_SENTENCE,
  type ServerStart,
  type SlotOrder,
} from "@foxtailwind/core";
import type { PartLogger } from "../logging/part_logger.ts";
import type {
  EngineControl,
  EngineOrder,
  EngineReport,
  OrderResult,
} from "./engine_control.ts";

/** How often an order is sent while no answer comes. */
const MOST_COPIES = 5;
/** Calls without an answer in a row after which an engine is out of reach. */
const SILENT_CALLS = 4;

/** What orders are sent with. */
export interface EngineOrdersParts {
  readonly self: NodeId;
  readonly control: EngineControl;
  readonly logger: PartLogger;
  /** Whether a report that names a start is to be believed. */
  readonly isBelieved: (start: ServerStart | undefined) => boolean;
  /** Called where a load got no answer, with the count that it expects. */
  readonly loadUnanswered: (expectedOrders: number) => void;
  /** Called once when the engine falls out of reach. */
  readonly fellSilent: () => void;
}

/** Sends the orders of one owner to one engine, and counts them. */
export class EngineOrders {
  readonly #parts: EngineOrdersParts;
  #server: RegisteredServer;
  #count: number | undefined;
  #silentCalls = 0;
  #isStopped = false;

  /**
   * @param server The engine.
   * @param parts What orders are sent with.
   */
  constructor(server: RegisteredServer, parts: EngineOrdersParts) {
    this.#server = server;
    this.#parts = parts;
  }

  /** Whether the orders that the engine has accepted can be counted on. */
  get isCounted(): boolean {
    return this.#count !== undefined;
  }

  /** The orders that the engine has accepted; 0 where they are unknown. */
  get count(): number {
    return this.#count ?? 0;
  }

  /** Whether the engine has answered lately. */
  get isReachable(): boolean {
    return this.#silentCalls < SILENT_CALLS;
  }

  /**
   * Takes a newer description of the engine.
   * @param server The engine.
   */
  update(server: RegisteredServer): void {
    this.#server = server;
  }

  /** Trusts no count until the engine has reported. */
  forgetCount(): void {
    this.#count = undefined;
  }

  /** Counts an order that the engine has accepted. */
  accepted(): void {
    if (this.#count !== undefined) this.#count += 1;
  }

  /** Sends no further copies. */
  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Asks the engine what it holds, and counts on its count from then on.
   * @returns The report, or nothing where it gave none or is at work.
   */
  async report(): Promise<EngineReport | undefined> {
    const report = await this.#parts.control.report(this.#server);
    if (this.#isStopped) return undefined;
    this.#heard(report.isOk());
    if (report.isErr()) {
      this.#parts.logger.warn("An engine gave no report.", {
        engine: this.#server.id,
        detail: report.error.message,
      });
      return undefined;
    }
    if (!this.#parts.isBelieved(report.value.start)) return undefined;
    if (report.value.isBusy) return undefined;
    this.#count = report.value.orderCount;
    return report.value;
  }

  /**
   * Orders a base model to be loaded.
   * @param model The model.
   * @param right The right to order.
   * @returns What came of it.
   */
  loadModel(model: ModelId, right: OrderPermission): Promise<OrderResult> {
    return this.#send("load", { kind: "load", model }, right);
  }

  /**
   * Orders a load that was ordered before, to learn whether it has ended.
   * @param order The load.
   * @param right The right to order.
   * @returns What came of it.
   */
  ask(order: SlotOrder, right: OrderPermission): Promise<OrderResult> {
    return this.#send("ask", toEngineOrder(order), right);
  }

  /**
   * Sends an order, and again while no answer comes. All copies expect the
   * same number of orders before them, so that one at most is carried out,
   * however late.
   * @param order The order.
   * @param right The right to order.
   * @returns What came of it.
   */
  async carryOut(
    order: SlotOrder,
    right: OrderPermission,
  ): Promise<OrderResult> {
    let result: OrderResult = { kind: "unknown" };
    for (let sends = 0; sends < MOST_COPIES; sends += 1) {
      const isCopy = sends > 0;
      result = await this.#send(order.kind, toEngineOrder(order), right);
      this.#heard(result.kind !== "unknown");
      // An earlier copy may be what the engine counts as another order.
      if (isCopy && result.kind === "conflict") return { kind: "unknown" };
      if (result.kind !== "unknown" || this.#isStopped) return result;
    }
    return result;
  }

  async #send(
    purpose: string,
    order: OrderContent,
    right: OrderPermission,
  ): Promise<OrderResult> {
    const { control, self, logger } = this.#parts;
    const expectedOrders = this.count;
    const result = await control.order(this.#server, {
      ...order,
      owner: self,
      fence: right.fence,
      expectedOrders,
    });
    if (result.kind === "unknown" && order.kind === "load") {
      this.#parts.loadUnanswered(expectedOrders);
    }
    logger.debug("An order was answered.", {
      engine: this.#server.id,
      kind: purpose,
      model: order.model,
      adapter: order.adapter,
      expected: expectedOrders,
      answer: result.kind,
    });
    return result;
  }

  /** Takes note of an answer, or of its absence. */
  #heard(hasAnswered: boolean): void {
    this.#silentCalls = hasAnswered ? 0 : this.#silentCalls + 1;
    if (this.#silentCalls !== SILENT_CALLS) return;
    this.#parts.logger.warn(RELAY_SENTENCE.outOfReach, {
      engine: this.#server.id,
    });
    this.#parts.fellSilent();
  }
}

type OrderContent = Pick<EngineOrder, "kind" | "model" | "adapter" | "version">;

function toEngineOrder(order: SlotOrder): OrderContent {
  const { model, adapter } = order.name;
  const version = order.kind === "load" ? order.version : 0;
  return {
    kind: order.kind,
    model,
    adapter,
    ...(version === 0 ? {} : { version }),
  };
}
