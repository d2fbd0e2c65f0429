export * from "./delivery_counters.ts";
export * from "./delivery_parts.ts";
export * from "./generation_delivery.ts";
export * from "./key_headers.ts";
export * from "./key_limits.ts";
export * from "./keyed_execution.ts";
export * from "./service_delivery.ts";
