/**
 * Clients for external systems: abstract classes and HTTP implementations.
 * @module
 */
export * from "./engine_client.ts";
export * from "./http/mod.ts";
export * from "./log_client.ts";
export * from "./prompt_prefix.ts";
export * from "./service_client.ts";
export * from "./vm_list_client.ts";
export * from "./weight_store_client.ts";
