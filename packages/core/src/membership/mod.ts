export * from "./failure_detector.ts";
export * from "./heartbeat.ts";
export * from "./heartbeat_peers.ts";
export * from "./member.ts";
export * from "./membership_agent.ts";
export * from "./timing.ts";
export * from "./view.ts";
export * from "./view_register.ts";
