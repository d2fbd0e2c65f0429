export {};
export * from "./soak/mod.ts";
