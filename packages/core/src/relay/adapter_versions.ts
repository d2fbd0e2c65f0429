import type { AdapterId, ModelId } from "../shared/mod.ts";

/** The newest version of each adapter that operators have named. */
export class AdapterVersions {
  readonly #newest = new Map<string, number>();

  /**
   * Records a version; a version older than the known one has no effect.
   * @param model The base model.
   * @param adapter The adapter.
   * @param version The version.
   */
  record(model: ModelId, adapter: AdapterId, version: number): void {
    const key = `${model}/${adapter}`;
    const known = this.#newest.get(key);
    if (known === undefined || known < version) this.#newest.set(key, version);
  }

  /**
   * Returns the minimum version for requests.
   * @param model The base model.
   * @param adapter The adapter.
   * @returns The version; 0 if none was named.
   */
  newest(model: ModelId, adapter: AdapterId): number {
    return this.#newest.get(`${model}/${adapter}`) ?? 0;
  }

  /** All recorded versions, for a node that can't reach the store. */
  get entries(): readonly (readonly [string, number])[] {
    return [...this.#newest];
  }
}
