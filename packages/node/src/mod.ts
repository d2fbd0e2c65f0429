/**
 * The daemon of one node.
 * @module
 */
export * from "./daemon.ts";
export * from "./daemon_parts.ts";
export * from "./logging/part_logger.ts";
export * from "./settings/load_settings.ts";
export * from "./settings/settings.ts";
export { ProcessClock } from "./clock/steady_clock.ts";
export { WorkInProgress } from "./drain/mod.ts";
export * from "./peers/mod.ts";
export type { GenerationRequest } from "./serving/generation_request.ts";
