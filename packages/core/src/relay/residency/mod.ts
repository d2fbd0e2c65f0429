export * from "./adapter_preference.ts";
export * from "./cached_adapters.ts";
export * from "./learned_load_times.ts";
export * from "./load_waiters.ts";
export * from "./recent_adapters.ts";
