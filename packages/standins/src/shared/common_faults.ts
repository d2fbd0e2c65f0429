import * as z from "zod";

/**
 * The faults that every stand-in has. `refuse` states that nothing ran;
 * `drop` closes the connection without an answer; `hang` answers nothing
 * until the outage ends, and then goes on with what it was asked before.
 */
export const commonFaults = {
  outage: z.enum(["none", "refuse", "drop", "hang"]).default("none"),
  delayMilliseconds: z.number().nonnegative().default(0),
} as const;

/** How many of the next occasions a fault strikes. */
export const nextOccasions = z.number().int().nonnegative().default(0);

/** The chance that a fault strikes on each occasion. */
export const probability = z.number().min(0).max(1).default(0);

/** The faults that every stand-in has. */
export interface CommonFaults {
  readonly outage: "none" | "refuse" | "drop" | "hang";
  readonly delayMilliseconds: number;
}
