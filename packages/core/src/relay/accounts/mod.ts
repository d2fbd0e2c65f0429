export * from "./account_table.ts";
export * from "./account_quota_meter.ts";
export * from "./client_account.ts";
export * from "./configuration_freshness.ts";
export * from "./demand_meter.ts";
export * from "./request_access.ts";
export * from "./revoked_keys.ts";
export * from "./suspension_detector.ts";
