import type { BackendServerId, OrderPermission } from "@foxtailwind/core";
import type { OrderRejection } from "./engine_control.ts";
import type { EngineRunParts } from "./engine_owner_parts.ts";

/** What an owner does next after an order was rejected. */
export type RejectionAction = "go_on" | "stop" | "ask_again";

/**
 * Records a rejected order and decides how the owner continues.
 * @param parts The owner's dependencies.
 * @param engine The engine.
 * @param rejection The rejection.
 * @param permission The permission that the order was sent with.
 * @returns What the owner does next.
 */
export function handleOrderRejection(
  { knowledge, logger, start }: EngineRunParts,
  engine: BackendServerId,
  rejection: OrderRejection,
  permission: OrderPermission,
): RejectionAction {
  switch (rejection.kind) {
    case "fenced":
      knowledge.recordFenced(engine, permission.fence);
      return "go_on";
    case "misdirected":
      knowledge.registry.removeReplaced(engine, start());
      return "stop";
    case "invalid":
      logger.error("An engine rejected an order.", {
        engine,
        step: rejection.failure.step,
        detail: rejection.failure.message,
      });
      return "ask_again";
  }
}
