export * from "./holder_ring.ts";
export * from "./software_history.ts";
export * from "./stream_origin.ts";
export * from "./stream_origins.ts";
export * from "./stream_sources.ts";
