import type {
  AdapterKey,
  AdapterReference,
  EngineCapacity,
  EngineId,
  Instant,
  QueuedRequest,
  RequestId,
} from "@foxtailwind/core";

/** What a baseline knows of one adapter on one engine. */
export interface BookedAdapter {
  readonly adapter: AdapterReference;
  state: "loading" | "resident" | "evicting";
  pins: number;
  lastUsed: Instant;
}

/** What a baseline knows of one engine: its adapters, batch and queue. */
export interface EngineBook {
  readonly engine: EngineId;
  readonly capacity: EngineCapacity;
  readonly adapters: Map<AdapterKey, BookedAdapter>;
  readonly running: Map<RequestId, AdapterKey>;
  readonly retryAt: Map<AdapterKey, Instant>;
  queue: QueuedRequest[];
}

/**
 * Opens the book of an engine that holds nothing.
 * @param engine The engine.
 * @param capacity What it can hold.
 * @returns The book.
 */
export function emptyBook(
  engine: EngineId,
  capacity: EngineCapacity,
): EngineBook {
  return {
    engine,
    capacity,
    adapters: new Map(),
    running: new Map(),
    retryAt: new Map(),
    queue: [],
  };
}

/**
 * Finds the least recently used adapter that nothing needs.
 * @param book The engine's book.
 * @param wanted Adapters that queued requests need.
 * @returns The adapter, or nothing where all are needed.
 */
export function leastRecentlyUsed(
  book: EngineBook,
  wanted: ReadonlySet<AdapterKey>,
): BookedAdapter | undefined {
  let oldest: BookedAdapter | undefined;
  for (const [key, booked] of book.adapters) {
    if (booked.state !== "resident" || booked.pins > 0) continue;
    if (wanted.has(key)) continue;
    const older = oldest === undefined || booked.lastUsed < oldest.lastUsed;
    if (older) oldest = booked;
  }
  return oldest;
}
