/**
 * In-memory stand-ins of a relay's dependencies, and a cluster that uses them.
 * @module
 */
export * from "./scripted_order_delivery.ts";
export * from "./stand_in_engine_state.ts";
export * from "./relay_cluster.ts";
export * from "./stand_in_configuration.ts";
export * from "./stand_in_engine.ts";
export * from "./stand_in_log.ts";
export * from "./stand_in_server.ts";
export * from "./stand_in_settings.ts";
export * from "./stand_in_store.ts";
export * from "./stand_in_wire.ts";
export * from "./stream_reader.ts";
