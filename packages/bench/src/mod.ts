/**
 * Load, policy measurements and randomised runs.
 * @module
 */
export * from "./soak/outcome_mutants.ts";
export * from "./soak/outcome_soak.ts";
