export * from "./adapter_reference.ts";
export * from "./brand.ts";
export * from "./failure.ts";
export * from "./ids.ts";
export * from "./invariant.ts";
export * from "./random.ts";
export * from "./time.ts";
export * from "./rendezvous.ts";
