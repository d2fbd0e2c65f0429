import { assertInvariant, type EngineId } from "@foxtailwind/core";
import type { VirtualEngine } from "./virtual_engine.ts";
import type { VirtualNode } from "./virtual_node.ts";

/** The engines and nodes of a run at one instant. */
export interface OwnershipState {
  readonly engines: readonly VirtualEngine[];
  readonly nodes: readonly VirtualNode[];
  /** The virtual time in milliseconds. */
  readonly now: number;
}

/**
 * Checks that no engine has two holders of the right to give it orders.
 * @param state The engines and nodes.
 */
export function checkHolders(state: OwnershipState): void {
  for (const { description } of state.engines) {
    const holders = state.nodes.filter((node) =>
      holdsRight(node, description.engine)
    );
    assertInvariant(
      holders.length <= 1,
      "one_holder_of_the_right",
      () => {
        const names = holders.map((one) => one.self.node).join(" and ");
        return `${names} for ${description.engine} at ${state.now}`;
      },
    );
  }
}

/**
 * Checks that each engine has a holder, and that its last order came from it.
 * @param state The engines and nodes, once all faults have ended.
 */
export function checkSettled(state: OwnershipState): void {
  for (const engine of state.engines) {
    const { description } = engine;
    const holder = state.nodes.find((node) =>
      holdsRight(node, description.engine)
    );
    assertInvariant(
      holder !== undefined && engine.lastBy !== undefined &&
        engine.lastBy.node === holder.self.node,
      "each_engine_gets_a_controller",
      () => `${description.engine} has ${holder?.self.node ?? "none"}`,
    );
  }
}

function holdsRight(node: VirtualNode, engine: EngineId): boolean {
  return node.isAlive && node.agent.authorizeOrder(engine, node.now()).isOk();
}
