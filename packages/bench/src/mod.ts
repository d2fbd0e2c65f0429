/**
 * Load, policy measurements and randomised runs.
 * @module
 */
export * from "./in_process/in_process_cluster.ts";
export * from "./policy/mod.ts";
export * from "./reading/mod.ts";
export * from "./relay/mod.ts";
export * from "./soak/adapter_soak.ts";
export * from "./soak/crashes/mod.ts";
export * from "./soak/fault.ts";
export * from "./soak/configuration_mutants.ts";
export * from "./soak/configuration_soak.ts";
export * from "./soak/mutants.ts";
export * from "./soak/outcome_mutants.ts";
export * from "./soak/outcome_soak.ts";
export * from "./soak/ownership_soak.ts";
export * from "./soak/relay/mod.ts";
export * from "./soak/scenario.ts";
export * from "./soak/service_soak.ts";
