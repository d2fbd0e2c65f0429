export * from "./request_event.ts";
export * from "./request_observer.ts";
