/**
 * A model of one engine that reads prompts, and an experiment on it.
 * @module
 */
export * from "./drawn_prompts.ts";
export * from "./prompt_gates.ts";
export * from "./reading_engine.ts";
export * from "./reading_experiment.ts";
