export * from "./adapter_router.ts";
export * from "./decayed_counter.ts";
export * from "./demand_tracker.ts";
export * from "./engine_view.ts";
export * from "./prefix_history.ts";
export * from "./residence_index.ts";
export * from "./smoothed_duration.ts";
export * from "./weighted_rendezvous.ts";
