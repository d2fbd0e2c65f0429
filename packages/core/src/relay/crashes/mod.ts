export * from "./crash_blame.ts";
export * from "./crash_burst.ts";
export * from "./crash_suspicion.ts";
export * from "./held_suspicions.ts";
export * from "./request_quarantine.ts";
