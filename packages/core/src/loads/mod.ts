export * from "./expected_grant_wait.ts";
export * from "./load_permit_ledger.ts";
export * from "./load_wish.ts";
export * from "./rate_limit.ts";
export * from "./static_share.ts";
