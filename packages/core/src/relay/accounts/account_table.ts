import type { ApiKeyDigest, ClientAccountId } from "../../shared/mod.ts";
import type { ClientAccount } from "./client_account.ts";

/** Looks up the client accounts of one configuration by API key. */
export class AccountTable {
  readonly #accountsByKey = new Map<ApiKeyDigest, ClientAccount>();
  readonly #ids: ReadonlySet<ClientAccountId>;

  /** @param accounts The accounts. */
  constructor(accounts: readonly ClientAccount[]) {
    this.#ids = new Set(accounts.map(({ id }) => id));
    for (const account of accounts) {
      for (const key of account.keys) this.#accountsByKey.set(key, account);
    }
  }

  /**
   * Checks whether an account exists.
   * @param id The account.
   * @returns Whether it does.
   */
  has(id: ClientAccountId): boolean {
    return this.#ids.has(id);
  }

  /**
   * Finds the account of an API key.
   * @param key The digest of the key.
   * @returns The account, or `undefined` if no account has the key.
   */
  find(key: ApiKeyDigest): ClientAccount | undefined {
    return this.#accountsByKey.get(key);
  }
}
