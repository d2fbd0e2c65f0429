export * from "./in_process/in_process_cluster.ts";
export * from "./soak/adapter_soak.ts";
