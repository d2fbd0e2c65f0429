export * from "./body_choice.ts";
export * from "./client_limits.ts";
export * from "./client_memory.ts";
