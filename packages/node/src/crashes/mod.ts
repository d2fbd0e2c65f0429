/**
 * Tracking of requests that crash engines.
 * @module
 */
export * from "./crash_memory.ts";
export * from "./engine_suspects.ts";
export * from "./generation_content.ts";
