/**
 * A simulation of one engine's prefill and an experiment that compares
 * policies on it.
 * @module
 */
export * from "./drawn_prompts.ts";
export * from "./prompt_gates.ts";
export * from "./reading_engine.ts";
export * from "./reading_experiment.ts";
