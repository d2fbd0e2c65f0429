export * from "./registered_server.ts";
export * from "./registry_renewal.ts";
export * from "./server_registry.ts";
export * from "./start_history.ts";
export * from "./unconfirmed_departures.ts";
