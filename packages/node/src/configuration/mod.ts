export * from "./cluster_status.ts";
export * from "./configuration_follower.ts";
export * from "./configuration_publisher.ts";
export * from "./configuration_store.ts";
export * from "./publish_failure.ts";
export * from "./snapshot_writer.ts";
export * from "./configuration_distribution_service.ts";
