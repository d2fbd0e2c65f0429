import type { Draws } from "./draws.ts";

/** How large a soak's world is. */
export interface WorldSize {
  readonly nodes: number;
  readonly engines: number;
  readonly plainServers: number;
}

/** How large the world of the relay's soak is. */
export const WORLD_SIZE = {
  nodes: 3,
  engines: 3,
  plainServers: 3,
  /** Adapters that fit on an engine. */
  slots: 3,
  adapters: 12,
  callers: 4,
} as const;

/** The versions of servers' software, in the order of their releases. */
export const SOFTWARE_VERSIONS = ["1", "2", "3", "4", "5", "6"] as const;

/**
 * Draws an adapter. Low numbers are asked for more often, and stay on their
 * engines.
 * @param draws The source of random numbers.
 * @returns Its number.
 */
export function drawAdapter(draws: Draws): number {
  const drawn = [0, 0, 0].map(() => draws.between(0, WORLD_SIZE.adapters));
  return Math.min(...drawn);
}
