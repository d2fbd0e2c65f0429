export * from "./soak/mutants.ts";
export * from "./soak/ownership_soak.ts";
export * from "./soak/scenario.ts";
