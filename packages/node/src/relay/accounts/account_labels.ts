import type { ClientAccountId } from "@foxtailwind/core";

/** The number of accounts that get a metric label of their own. */
const MAXIMUM_LABELS = 64;
/** The label of all further accounts. */
const OTHER_ACCOUNTS = "other";

/** Bounds the number of metric labels, however many accounts there are. */
export class AccountLabels {
  readonly #labelled = new Set<ClientAccountId>();

  /**
   * Returns the label of an account.
   * @param account The account.
   * @returns Its id, or a common label if there are too many accounts.
   */
  labelOf(account: ClientAccountId): string {
    if (this.#labelled.has(account)) return account;
    if (this.#labelled.size >= MAXIMUM_LABELS) return OTHER_ACCOUNTS;
    this.#labelled.add(account);
    return account;
  }
}
