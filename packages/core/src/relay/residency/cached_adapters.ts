import { type BackendServerId, type ServerStart } from "../../shared/mod.ts";
import {
  type AdapterHash,
  adapterHash,
  type NamedAdapter,
  RecentAdapters,
} from "./recent_adapters.ts";

/** The maximum number of adapters that are remembered of one engine. */
const MAXIMUM_ADAPTERS = 256;
/** The maximum number of engines. */
const MAXIMUM_ENGINES = 16_384;

/** A version of an adapter; 0 if it isn't known. */
export interface HeldVersion extends NamedAdapter {
  readonly version: number;
}

/** An adapter that a request needs. */
export interface NeededAdapter {
  readonly hash: AdapterHash;
  /** The oldest version that may serve it. */
  readonly minimumVersion: number;
}

/** What an engine's owner says that the engine holds. */
export interface HeldAdapters {
  /** The start of the engine, if known. */
  readonly start: ServerStart | undefined;
  readonly adapters: readonly HeldVersion[];
  /** The number of recent adapters, held ones included, that load quickly. */
  readonly cacheSize: number;
}

interface CachedAdaptersOfStart {
  readonly start: ServerStart | undefined;
  readonly recent: RecentAdapters;
  held: readonly HeldVersion[];
  cacheSize: number;
}

/**
 * A node's memory of the adapters that engines have held since their start and
 * probably still cache, as seen in the digests of their owners.
 */
export class CachedAdapters {
  readonly #engines = new Map<BackendServerId, CachedAdaptersOfStart>();

  /** The number of engines of which anything is remembered. */
  get size(): number {
    return this.#engines.size;
  }

  /**
   * Records what an engine holds. What was remembered of another start is
   * forgotten.
   * @param engine The engine.
   * @param state What it holds.
   */
  observe(engine: BackendServerId, state: HeldAdapters): void {
    const known = this.#ofStart(engine, state);
    known.cacheSize = state.cacheSize;
    if (known.held === state.adapters) return;
    const isUnchanged = areSame(known.held, state.adapters);
    known.held = state.adapters;
    if (isUnchanged) return;
    for (const name of state.adapters) {
      known.recent.touch(adapterHash(name), name.version);
    }
  }

  /**
   * Checks whether an engine probably caches an adapter.
   * @param engine The engine.
   * @param state The engine's start, and how much it caches.
   * @param adapter The adapter.
   * @returns Whether the adapter is among the recent ones of that start.
   */
  has(
    engine: BackendServerId,
    { start, cacheSize }: Omit<HeldAdapters, "adapters">,
    { hash, minimumVersion }: NeededAdapter,
  ): boolean {
    const rank = this.recentOf(engine, start)?.rankOf(hash, minimumVersion);
    return rank !== undefined && rank < cacheSize;
  }

  /**
   * Checks whether any other engine probably caches an adapter.
   * @param engine The engine that is left out.
   * @param adapter The adapter.
   * @returns Whether one does.
   */
  isCachedElsewhere(
    engine: BackendServerId,
    { hash, minimumVersion }: NeededAdapter,
  ): boolean {
    for (const [other, { recent, cacheSize }] of this.#engines) {
      if (other === engine) continue;
      const rank = recent.rankOf(hash, minimumVersion);
      if (rank !== undefined && rank < cacheSize) return true;
    }
    return false;
  }

  /**
   * Lists what an engine has held.
   * @param engine The engine.
   * @param start Its start.
   * @returns The adapters, or `undefined` if none are known of that start.
   */
  recentOf(
    engine: BackendServerId,
    start: ServerStart | undefined,
  ): RecentAdapters | undefined {
    const known = this.#engines.get(engine);
    return known?.start === start ? known?.recent : undefined;
  }

  /**
   * Forgets all other engines.
   * @param engines The engines to keep.
   */
  retain(engines: ReadonlySet<BackendServerId>): void {
    for (const engine of this.#engines.keys()) {
      if (!engines.has(engine)) this.#engines.delete(engine);
    }
  }

  #ofStart(
    engine: BackendServerId,
    { start, cacheSize }: HeldAdapters,
  ): CachedAdaptersOfStart {
    const known = this.#engines.get(engine);
    if (known?.start === start && known !== undefined) return known;
    const capacity = Math.min(cacheSize, MAXIMUM_ADAPTERS);
    const created = {
      start,
      recent: new RecentAdapters(capacity),
      held: [],
      cacheSize,
    };
    this.#engines.set(engine, created);
    const [oldest] = this.#engines.keys();
    if (this.#engines.size > MAXIMUM_ENGINES && oldest !== undefined) {
      this.#engines.delete(oldest);
    }
    return created;
  }
}

function areSame(
  left: readonly HeldVersion[],
  right: readonly HeldVersion[],
): boolean {
  return left.length === right.length &&
    left.every((name, index) =>
      name.adapter === right[index]?.adapter &&
      name.model === right[index].model &&
      name.version === right[index].version
    );
}
