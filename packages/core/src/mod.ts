/**
 * The decisions of foxtailwind: no input or output, no clock, no timers.
 * @module
 */
export * from "./shared/mod.ts";
