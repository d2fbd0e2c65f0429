/**
 * The daemon of one node.
 * @module
 */
export * from "./daemon.ts";
export * from "./daemon_parts.ts";
export * from "./logging/part_logger.ts";
export * from "./settings/load_settings.ts";
export * from "./settings/settings.ts";
