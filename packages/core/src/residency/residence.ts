import type { AdapterKey, AdapterReference, Instant } from "../shared/mod.ts";

/** The state of an adapter in a slot. */
export type ResidenceState = "loading" | "resident" | "evicting";

/** An adapter in a slot of an engine. */
export interface Residence {
  readonly key: AdapterKey;
  readonly adapter: AdapterReference;
  readonly state: ResidenceState;
  /** Number of requests that are running or being sent to the engine. */
  readonly pins: number;
  /**
   * Found at the engine and not loaded by this controller. Requests of the
   * previous controller may still use it until the engine reports it idle.
   */
  readonly unproven: boolean;
  /** When the state began. */
  readonly since: Instant;
  readonly lastUsed: Instant;
}

/**
 * Checks whether an adapter may be evicted.
 * @param residence Its residence.
 * @returns Whether it is resident and known to be unused.
 */
export function isIdle(residence: Residence): boolean {
  return residence.state === "resident" && residence.pins === 0 &&
    !residence.unproven;
}
