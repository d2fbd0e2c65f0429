export * from "./delivery_rules.ts";
export * from "./execution_key.ts";
export * from "./key_ledger.ts";
