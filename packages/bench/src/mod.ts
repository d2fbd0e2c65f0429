export * from "./in_process/in_process_cluster.ts";
export * from "./soak/configuration_mutants.ts";
export * from "./soak/configuration_soak.ts";
