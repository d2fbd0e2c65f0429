export * from "./crash_node.ts";
export * from "./crash_scenario.ts";
export * from "./crash_soak.ts";
export * from "./crash_mutants.ts";
