export * from "./keyed_execution.ts";
export * from "./service_delivery.ts";
