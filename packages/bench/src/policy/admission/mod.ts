export * from "./admission_emulation.ts";
export * from "./admission_ways.ts";
