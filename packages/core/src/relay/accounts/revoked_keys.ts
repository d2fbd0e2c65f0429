import type { ApiKeyDigest, ClientAccountId } from "../../shared/mod.ts";
import type { ClientAccount } from "./client_account.ts";

/** The number of revoked keys that are remembered. */
const MAXIMUM_KEYS = 1_000;

/** A key that a configuration took away. */
export interface RevokedKey {
  readonly account: ClientAccountId;
  /** The first configuration without the key. */
  readonly version: number;
}

/**
 * The keys that were revoked lately, so that logs can tell a revoked key from
 * one that never existed.
 */
export class RevokedKeys {
  readonly #revoked = new Map<ApiKeyDigest, RevokedKey>();

  /**
   * Compares the accounts of two configurations.
   * @param before The accounts of the earlier configuration.
   * @param after The accounts of the later one.
   * @param version The version of the later one.
   */
  recordChange(
    before: readonly ClientAccount[],
    after: readonly ClientAccount[],
    version: number,
  ): void {
    const remaining = new Set(after.flatMap(({ keys }) => keys));
    for (const key of remaining) this.#revoked.delete(key);
    for (const { id: account, keys } of before) {
      for (const key of keys) {
        if (!remaining.has(key)) this.#revoked.set(key, { account, version });
      }
    }
    for (const oldest of this.#revoked.keys()) {
      if (this.#revoked.size <= MAXIMUM_KEYS) break;
      this.#revoked.delete(oldest);
    }
  }

  /**
   * Finds a revoked key.
   * @param key The digest of the key.
   * @returns Whose it was, or `undefined` if it is not known to be revoked.
   */
  find(key: ApiKeyDigest): RevokedKey | undefined {
    return this.#revoked.get(key);
  }
}
