export * from "./policy/mod.ts";
