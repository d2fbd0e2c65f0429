/**
 * Load, policy measurements and randomised runs.
 * @module
 */
export * from "./in_process/in_process_cluster.ts";
export * from "./soak/outcome_mutants.ts";
export * from "./soak/outcome_soak.ts";
