export * from "./engine_residency.ts";
export * from "./load_backoff.ts";
export * from "./residence.ts";
export * from "./eviction_candidate.ts";
