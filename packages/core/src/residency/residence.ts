import type { AdapterKey, AdapterReference, Instant } from "../shared/mod.ts";

/** What an adapter's slot is doing. */
export type ResidenceState = "loading" | "resident" | "evicting";

/** An adapter in a slot of an engine. */
export interface Residence {
  readonly key: AdapterKey;
  readonly adapter: AdapterReference;
  readonly state: ResidenceState;
  /** Requests that run or are on their way to the engine. */
  readonly pins: number;
  /**
   * Found at the engine, not loaded by this controller: requests of the
   * controller before may still use it, until the engine shows it idle.
   */
  readonly unproven: boolean;
  /** When the state began. */
  readonly since: Instant;
  readonly lastUsed: Instant;
}

/**
 * Tells whether an adapter may be evicted.
 * @param residence Its residence.
 * @returns Whether it is resident and known to be unused.
 */
export function isIdle(residence: Residence): boolean {
  return residence.state === "resident" && residence.pins === 0 &&
    !residence.unproven;
}
