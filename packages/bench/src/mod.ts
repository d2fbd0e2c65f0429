export * from "./in_process/in_process_cluster.ts";
