/**
 * The memory of requests that end the engines that run them.
 * @module
 */
export * from "./crash_memory.ts";
export * from "./engine_suspects.ts";
export * from "./generation_content.ts";
