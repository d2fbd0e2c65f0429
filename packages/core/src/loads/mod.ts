export * from "./expected_permit_wait.ts";
export * from "./load_permit_issuer.ts";
export * from "./load_wish.ts";
export * from "./rate_limit.ts";
export * from "./static_share.ts";
