import type { Brand } from "./brand.ts";

/**
 * A reading of one VM's monotonic clock, in milliseconds. Readings of
 * different VMs are not comparable; only durations measured on one VM are
 * meaningful.
 */
export type Instant = Brand<number, "Instant">;

/** A duration in milliseconds. */
export type Duration = Brand<number, "Duration">;

/** The zero of a monotonic clock. */
export const CLOCK_START = 0 as Instant;

/**
 * Brands a monotonic clock reading.
 * @param value Milliseconds.
 * @returns The instant.
 */
export function instant(value: number): Instant {
  return value as Instant;
}

/**
 * Brands a duration.
 * @param value Milliseconds.
 * @returns The duration.
 */
export function milliseconds(value: number): Duration {
  return value as Duration;
}

/**
 * Converts seconds to a duration.
 * @param value Seconds.
 * @returns The duration in milliseconds.
 */
export function seconds(value: number): Duration {
  return (value * 1_000) as Duration;
}

/**
 * Adds a duration to an instant.
 * @param start The start.
 * @param duration The duration to add.
 * @returns The later instant.
 */
export function later(start: Instant, duration: Duration): Instant {
  return (start + duration) as Instant;
}

/**
 * Computes the time between two instants of the same VM.
 * @param start The earlier instant.
 * @param end The later instant.
 * @returns The duration; negative if `end` precedes `start`.
 */
export function elapsed(start: Instant, end: Instant): Duration {
  return (end - start) as Duration;
}
