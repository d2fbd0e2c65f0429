export * from "./change.ts";
export * from "./configuration.ts";
export * from "./item_key.ts";
export * from "./record_text.ts";
