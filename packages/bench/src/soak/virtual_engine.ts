import {
  assertInvariant,
  type ControlledEngine,
  type FencingNumber,
  type NodeRun,
} from "@foxtailwind/core";

/** An order on its way to an engine. */
export interface VirtualOrder {
  readonly by: NodeRun;
  readonly fencing: FencingNumber;
}

/** An engine that only notes which orders it carries out. */
export class VirtualEngine {
  readonly description: ControlledEngine;
  #highest = -1;
  #lastBy: NodeRun | undefined;
  #executed = 0;

  constructor(description: ControlledEngine) {
    this.description = description;
  }

  /** How many orders were carried out. */
  get executed(): number {
    return this.#executed;
  }

  /** Who gave the order that was carried out last. */
  get lastBy(): NodeRun | undefined {
    return this.#lastBy;
  }

  /**
   * Receives an order.
   * @param order The order.
   */
  receive(order: VirtualOrder): void {
    const isOld = order.fencing < this.#highest;
    if (isOld && this.description.checksFencing) return;
    assertInvariant(
      !isOld,
      "no_old_order_is_executed",
      () =>
        `${this.description.engine} executes ${order.fencing} of ${order.by.node} after ${this.#highest}`,
    );
    this.#highest = order.fencing;
    this.#lastBy = order.by;
    this.#executed += 1;
  }
}
