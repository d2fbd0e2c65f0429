/**
 * HTTP implementations of the clients, based on undici.
 * @module
 */
export * from "./after_pending_input.ts";
export * from "./time_limited_signal.ts";
export * from "./client_options.ts";
export * from "./connection_ends.ts";
export * from "./connection_resets.ts";
export * from "./dispatcher.ts";
export * from "./engine_schemas.ts";
export * from "./exchange.ts";
export * from "./frame_reader.ts";
export * from "./generation_line.ts";
export * from "./http_engine_client.ts";
export * from "./http_log_client.ts";
export * from "./http_service_client.ts";
export * from "./http_vm_list_client.ts";
export * from "./http_weight_store_client.ts";
export * from "./idle_timeout.ts";
export * from "./line_splitter.ts";
export * from "./reported_failure.ts";
export * from "./vm_schema.ts";
