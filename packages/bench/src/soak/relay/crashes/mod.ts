export * from "./part_checks.ts";
export * from "./part_script.ts";
