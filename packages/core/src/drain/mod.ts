export * from "./planned_stop.ts";
