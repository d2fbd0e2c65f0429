export * from "./account_table.ts";
export * from "./client_account.ts";
export * from "./configuration_freshness.ts";
export * from "./request_access.ts";
export * from "./suspension_detector.ts";
