export * from "./service_soak.ts";
