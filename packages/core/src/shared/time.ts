import type { Brand } from "./brand.ts";

/**
 * A reading of one VM's own steady clock, in milliseconds. Never compared
 * with a reading of another VM: only durations measured on one VM count.
 */
export type Instant = Brand<number, "Instant">;

/** A length of time in milliseconds. */
export type Duration = Brand<number, "Duration">;

/** The start of a steady clock. */
export const CLOCK_START = 0 as Instant;

/**
 * Brands a steady clock reading.
 * @param value Milliseconds.
 * @returns The instant.
 */
export function instant(value: number): Instant {
  return value as Instant;
}

/**
 * Brands a length of time.
 * @param value Milliseconds.
 * @returns The duration.
 */
export function milliseconds(value: number): Duration {
  return value as Duration;
}

/**
 * Makes a length of time from seconds.
 * @param value Seconds.
 * @returns The duration in milliseconds.
 */
export function seconds(value: number): Duration {
  return (value * 1_000) as Duration;
}

/**
 * Moves an instant forward.
 * @param from The start.
 * @param by The length of time.
 * @returns The later instant.
 */
export function later(from: Instant, by: Duration): Instant {
  return (from + by) as Instant;
}

/**
 * Measures the time from one instant to another on the same VM.
 * @param start The earlier instant.
 * @param end The later instant.
 * @returns The duration, negative where `end` comes first.
 */
export function elapsed(start: Instant, end: Instant): Duration {
  return (end - start) as Duration;
}
