/** The requests on an engine, granted or not. */
export interface PlaceUse {
  /** The number of requests that the engine runs concurrently. */
  readonly places: number;
  readonly running: number;
  /** The requests that wait for a load or for their prefill. */
  readonly waiting: number;
}

/**
 * Checks whether a request should wait for an adapter to be loaded. Requests
 * for an adapter in sudden demand arrive faster than one engine runs them;
 * those beyond its places would wait in the engine's queue after the load, and
 * another engine loads the adapter sooner.
 * @param use The requests on the engine.
 * @returns Whether the engine has a place for it once the load is done.
 */
export function hasPlaceAfterLoad(
  { places, running, waiting }: PlaceUse,
): boolean {
  return running + waiting < places;
}
