export * from "./adapter_serving_policy.ts";
export * from "./adapter_value.ts";
export * from "./deployment_policy.ts";
export * from "./engine_controller.ts";
export * from "./engine_event.ts";
export * from "./give_up_timer.ts";
export * from "./load_planner.ts";
export * from "./prefetch_scout.ts";
