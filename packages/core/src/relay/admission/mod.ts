export * from "./admission_decision.ts";
export * from "./admission_lanes.ts";
export * from "./admission_queue.ts";
export * from "./admission_terms.ts";
export * from "./class_service.ts";
export * from "./place_refusals.ts";
export * from "./place_turnover.ts";
export * from "./prefill_spacing.ts";
