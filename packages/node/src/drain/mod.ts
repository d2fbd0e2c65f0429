export * from "./counted_calls.ts";
export * from "./counted_requests.ts";
export * from "./drain.ts";
export * from "./hand_over.ts";
export * from "./work_in_progress.ts";
