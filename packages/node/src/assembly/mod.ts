export * from "./make_addresses.ts";
export * from "./make_cluster.ts";
export * from "./make_drain.ts";
export * from "./make_metrics.ts";
export * from "./make_platform_clients.ts";
