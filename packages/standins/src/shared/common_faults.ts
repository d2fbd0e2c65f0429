import * as z from "zod";

/**
 * The faults that all stand-ins support. `refuse` responds that nothing ran.
 * `drop` closes the connection without a response. `hang` holds requests until
 * the outage ends, then processes them.
 */
export const commonFaults = {
  outage: z.enum(["none", "refuse", "drop", "hang"]).default("none"),
  delayMilliseconds: z.number().nonnegative().default(0),
} as const;

/** The number of times that a fault occurs from now on. */
export const remainingOccurrences = z.number().int().nonnegative().default(0);

/** The probability with which a fault occurs each time. */
export const probability = z.number().min(0).max(1).default(0);

/** The faults that all stand-ins support. */
export interface CommonFaults {
  readonly outage: "none" | "refuse" | "drop" | "hang";
  readonly delayMilliseconds: number;
}
