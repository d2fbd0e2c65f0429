export * from "./knowledge_sources.ts";
export * from "./log_position.ts";
export * from "./log_read_pacing.ts";
