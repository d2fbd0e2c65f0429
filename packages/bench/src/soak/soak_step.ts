import fc from "fast-check";

/** One thing that happens in a soak; numbers choose among what there is. */
export type SoakStep =
  | {
    readonly kind: "request";
    readonly adapter: number;
    readonly version: number;
    readonly class: number;
    readonly tenant: number;
  }
  | { readonly kind: "cancel"; readonly choice: number }
  | {
    readonly kind: "end_load";
    readonly choice: number;
    readonly loaded: boolean;
  }
  | {
    readonly kind: "end_eviction";
    readonly choice: number;
    readonly evicted: boolean;
  }
  | { readonly kind: "first_token"; readonly choice: number }
  | { readonly kind: "end_request"; readonly choice: number }
  | { readonly kind: "restart"; readonly engine: number }
  | { readonly kind: "leave"; readonly engine: number }
  | {
    readonly kind: "report";
    readonly engine: number;
    readonly age: number;
    readonly skew: number;
  }
  | {
    readonly kind: "prefix";
    readonly engine: number;
    readonly adapter: number;
    readonly stored: boolean;
  }
  | {
    readonly kind: "target";
    readonly class: number;
    readonly milliseconds: number;
  }
  | { readonly kind: "wait"; readonly milliseconds: number };

const choice = fc.nat(10_000);
const ADAPTERS = 40;
const VERSIONS = 2;

/** How many classes a soak has. */
export const SOAK_CLASSES = 3;
/** How many engines a soak has. */
export const SOAK_ENGINES = 3;

/** Draws steps; common things more often than faults. */
export const soakStepArbitrary: fc.Arbitrary<SoakStep> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant("request" as const),
      // The square makes low numbers, and so some adapters, popular.
      adapter: fc.double({ min: 0, max: 0.999, noNaN: true })
        .map((drawn) => Math.floor(ADAPTERS * drawn * drawn)),
      version: fc.nat(VERSIONS - 1),
      class: fc.nat(SOAK_CLASSES - 1),
      tenant: fc.nat(4),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("cancel" as const), choice }),
  },
  {
    weight: 10,
    arbitrary: fc.record({
      kind: fc.constant("end_load" as const),
      choice,
      loaded: fc.nat(9).map((drawn) => drawn > 1),
    }),
  },
  {
    weight: 10,
    arbitrary: fc.record({
      kind: fc.constant("end_eviction" as const),
      choice,
      evicted: fc.nat(9).map((drawn) => drawn > 0),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({ kind: fc.constant("first_token" as const), choice }),
  },
  {
    weight: 10,
    arbitrary: fc.record({ kind: fc.constant("end_request" as const), choice }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constantFrom("restart" as const, "leave" as const),
      engine: fc.nat(SOAK_ENGINES - 1),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("report" as const),
      engine: fc.nat(SOAK_ENGINES - 1),
      age: fc.nat(3_000),
      skew: fc.nat(6),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("prefix" as const),
      engine: fc.nat(SOAK_ENGINES - 1),
      adapter: fc.nat(ADAPTERS - 1),
      stored: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("target" as const),
      class: fc.nat(SOAK_CLASSES - 1),
      milliseconds: fc.integer({ min: 50, max: 60_000 }),
    }),
  },
  {
    weight: 14,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      milliseconds: fc.integer({ min: 1, max: 600 }),
    }),
  },
);
