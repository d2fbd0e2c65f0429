/**
 * The decision logic of foxtailwind. It performs no input or output and uses
 * no clock and no timers.
 * @module
 */
export * from "./shared/mod.ts";
export * from "./addresses/mod.ts";
export * from "./configuration/mod.ts";
export * from "./delivery/mod.ts";
export * from "./drain/mod.ts";
export * from "./observation/mod.ts";
export * from "./membership/mod.ts";
export * from "./ownership/mod.ts";
export * from "./service_routing/mod.ts";
export * from "./dispatch/mod.ts";
export * from "./loads/mod.ts";
export * from "./placement/mod.ts";
export * from "./residency/mod.ts";
export * from "./serving/mod.ts";
export * from "./relay/mod.ts";
