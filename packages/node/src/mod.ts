/**
 * The daemon of one node.
 * @module
 */
export {
  CallerConnection,
  type CallerLimits,
} from "./callers/completions/caller_connection.ts";
export { EventStreamBody } from "./callers/completions/event_stream_body.ts";
export { CALLER_CONTROLLERS } from "./callers/mod.ts";
export { OPENAPI_DOCUMENT } from "./callers/openapi/openapi_document.ts";
export * from "./clock/steady_clock.ts";
export * from "./cluster/mod.ts";
export * from "./daemon.ts";
export * from "./daemon_parts.ts";
export * from "./logging/component_logger.ts";
export * from "./metrics/mod.ts";
export * from "./platform/vm_directory.ts";
export * from "./settings/load_settings.ts";
export * from "./settings/settings.ts";
export { WorkInProgress } from "./drain/mod.ts";
export * from "./peers/mod.ts";
export type { GenerationRequest } from "./serving/generation_request.ts";
export { EngineOrders } from "./serving/engine_orders.ts";
export {
  ConstantOrderAuthorizer,
  OrderAuthorizer,
} from "./serving/order_authorizer.ts";
export * from "./telemetry/telemetry_metrics.ts";
