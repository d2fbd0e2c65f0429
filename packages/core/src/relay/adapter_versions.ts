import type { AdapterId, ModelId } from "../shared/mod.ts";

/** The newest version that operators have named for each adapter. */
export class AdapterVersions {
  readonly #newest = new Map<string, number>();

  /**
   * Takes note of a version; an older one than known changes nothing.
   * @param model The base model.
   * @param adapter The adapter.
   * @param version The version.
   */
  name(model: ModelId, adapter: AdapterId, version: number): void {
    const key = `${model}/${adapter}`;
    const known = this.#newest.get(key);
    if (known === undefined || known < version) this.#newest.set(key, version);
  }

  /**
   * Gives the version that requests must not fall behind.
   * @param model The base model.
   * @param adapter The adapter.
   * @returns The version; 0 where none was named.
   */
  newest(model: ModelId, adapter: AdapterId): number {
    return this.#newest.get(`${model}/${adapter}`) ?? 0;
  }

  /** All that was named, for a node that can't reach the store. */
  get all(): readonly (readonly [string, number])[] {
    return [...this.#newest];
  }
}
