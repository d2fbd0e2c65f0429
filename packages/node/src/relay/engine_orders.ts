import {
  type ModelId,
  type NodeId,
  type OrderPermission,
  type RegisteredServer,
  RELAY_SENTENCE,
  type ServerStart,
  type SlotOrder,
} from "@foxtailwind/core";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type {
  EngineControl,
  EngineOrder,
  EngineReport,
  OrderResult,
} from "./engine_control.ts";

/** How many times an order is sent at most while no answer arrives. */
const MAXIMUM_SENDS = 5;
/** Consecutive calls without an answer that make an engine unreachable. */
const MAXIMUM_UNANSWERED_CALLS = 4;

/** Dependencies of `EngineOrders`. */
export interface EngineOrdersParts {
  readonly self: NodeId;
  readonly control: EngineControl;
  readonly logger: ComponentLogger;
  /** Whether to accept a report that names a start. */
  readonly acceptsReport: (start: ServerStart | undefined) => boolean;
  /** Called when a load got no answer, with the order count it expects. */
  readonly onLoadUnanswered: (expectedOrders: number) => void;
  /** Called once when the engine becomes unreachable. */
  readonly onUnreachable: () => void;
}

/** Sends the orders of one owner to one engine, and counts those accepted. */
export class EngineOrders {
  readonly #parts: EngineOrdersParts;
  #server: RegisteredServer;
  #acceptedOrders: number | undefined;
  #unansweredCalls = 0;
  #isStopped = false;

  /**
   * @param server The engine.
   * @param parts The dependencies.
   */
  constructor(server: RegisteredServer, parts: EngineOrdersParts) {
    this.#server = server;
    this.#parts = parts;
  }

  /** Whether the number of orders that the engine accepted is known. */
  get hasCount(): boolean {
    return this.#acceptedOrders !== undefined;
  }

  /** The number of orders that the engine accepted; 0 if unknown. */
  get count(): number {
    return this.#acceptedOrders ?? 0;
  }

  /** Whether the engine has answered recently. */
  get isReachable(): boolean {
    return this.#unansweredCalls < MAXIMUM_UNANSWERED_CALLS;
  }

  /**
   * Updates the engine's registry entry.
   * @param server The engine.
   */
  update(server: RegisteredServer): void {
    this.#server = server;
  }

  /** Discards the order count until the engine has reported. */
  forgetCount(): void {
    this.#acceptedOrders = undefined;
  }

  /** Records that the engine has accepted an order. */
  recordAccepted(): void {
    if (this.#acceptedOrders !== undefined) this.#acceptedOrders += 1;
  }

  /** Stops sending orders again. */
  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Reads the engine's report and adopts its order count.
   * @returns The report, or `undefined` if there is none, if its start isn't
   * accepted, or if the engine is busy.
   */
  async readReport(): Promise<EngineReport | undefined> {
    const report = await this.#parts.control.report(this.#server);
    if (this.#isStopped) return undefined;
    this.#recordResponse(report.isOk());
    if (report.isErr()) {
      this.#parts.logger.warn("An engine's report could not be read.", {
        engine: this.#server.id,
        detail: report.error.message,
      });
      return undefined;
    }
    if (!this.#parts.acceptsReport(report.value.start)) return undefined;
    if (report.value.isBusy) return undefined;
    this.#acceptedOrders = report.value.orderCount;
    return report.value;
  }

  /**
   * Orders a base model to be loaded.
   * @param model The model.
   * @param permission The permission to send orders.
   * @returns The result.
   */
  loadModel(model: ModelId, permission: OrderPermission): Promise<OrderResult> {
    return this.#send("load", { kind: "load", model }, permission);
  }

  /**
   * Sends an earlier load order once more, to learn whether it is done.
   * @param order The load.
   * @param permission The permission to send orders.
   * @returns The result.
   */
  checkLoad(
    order: SlotOrder,
    permission: OrderPermission,
  ): Promise<OrderResult> {
    return this.#send("ask", toEngineOrder(order), permission);
  }

  /**
   * Sends an order, and sends it again while no answer arrives. All copies
   * expect the same order count, so that the engine executes at most one of
   * them, however late.
   * @param order The order.
   * @param permission The permission to send orders.
   * @returns The result.
   */
  async execute(
    order: SlotOrder,
    permission: OrderPermission,
  ): Promise<OrderResult> {
    let result: OrderResult = { kind: "unknown" };
    for (let sends = 0; sends < MAXIMUM_SENDS; sends += 1) {
      const isCopy = sends > 0;
      result = await this.#send(order.kind, toEngineOrder(order), permission);
      this.#recordResponse(result.kind !== "unknown");
      // The order that the engine has counted may be an earlier copy.
      if (isCopy && result.kind === "conflict") return { kind: "unknown" };
      if (result.kind !== "unknown" || this.#isStopped) return result;
    }
    return result;
  }

  async #send(
    purpose: string,
    order: OrderContent,
    permission: OrderPermission,
  ): Promise<OrderResult> {
    const { control, self, logger } = this.#parts;
    const expectedOrders = this.count;
    const result = await control.order(this.#server, {
      ...order,
      owner: self,
      fence: permission.fence,
      expectedOrders,
    });
    if (result.kind === "unknown" && order.kind === "load") {
      this.#parts.onLoadUnanswered(expectedOrders);
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

  /** Records whether a call was answered. */
  #recordResponse(hasAnswered: boolean): void {
    this.#unansweredCalls = hasAnswered ? 0 : this.#unansweredCalls + 1;
    if (this.#unansweredCalls !== MAXIMUM_UNANSWERED_CALLS) return;
    this.#parts.logger.warn(RELAY_SENTENCE.outOfReach, {
      engine: this.#server.id,
    });
    this.#parts.onUnreachable();
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
