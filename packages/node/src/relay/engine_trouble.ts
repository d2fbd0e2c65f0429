import type { BackendServerId, OrderPermission } from "@foxtailwind/core";
import type { OrderTrouble } from "./engine_control.ts";
import type { EngineRunParts } from "./engine_owner_parts.ts";

/** What an owner does after an answer with which it can't go on as before. */
export type TroubleStep = "go_on" | "stop" | "ask_again";

/**
 * Takes note of an answer after which an owner can't go on as before.
 * @param parts What the owner works with.
 * @param engine The engine.
 * @param trouble The answer.
 * @param right The right with which it was ordered.
 * @returns What the owner does next.
 */
export function takeTrouble(
  { knowledge, logger, start }: EngineRunParts,
  engine: BackendServerId,
  trouble: OrderTrouble,
  right: OrderPermission,
): TroubleStep {
  switch (trouble.kind) {
    case "fenced":
      knowledge.fenced(engine, right.fence);
      return "go_on";
    case "misdirected":
      knowledge.registry.removeReplaced(engine, start());
      return "stop";
    case "invalid":
      logger.error("An engine did not take an order.", {
        engine,
        step: trouble.failure.step,
        detail: trouble.failure.message,
      });
      return "ask_again";
  }
}
