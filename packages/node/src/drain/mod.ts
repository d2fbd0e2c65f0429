export * from "./counted_requests.ts";
export * from "./drain.ts";
export * from "./hand_over.ts";
export * from "./leaving_engines.ts";
export * from "./work_in_progress.ts";
