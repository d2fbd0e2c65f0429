/**
 * The daemon of one node.
 * @module
 */
export * from "./daemon.ts";
export * from "./daemon_parts.ts";
export * from "./logging/part_logger.ts";
export * from "./settings/load_settings.ts";
export * from "./settings/settings.ts";
export { EngineOrders } from "./serving/engine_orders.ts";
export { ConstantOrderRight, OrderRight } from "./serving/order_right.ts";
export { ProcessClock } from "./clock/steady_clock.ts";
