export * from "./deployment_policy.ts";
export * from "./engine_controller.ts";
export * from "./engine_event.ts";
