/** Whether an answer's tokens are the expected ones. */
export type TokenVerdict = "right" | "misdelivered";

/**
 * Checks the tokens of one answer. Each must name the requested adapter and its
 * own index, and none may be missing, duplicated or out of order.
 */
export class TokenChecker {
  readonly #adapter: string;
  #tokenCount = 0;
  #verdict: TokenVerdict = "right";
  #partialToken = "";

  /** @param adapter `adapter@version`. */
  constructor(adapter: string) {
    this.#adapter = adapter;
  }

  /** The number of tokens received. */
  get tokenCount(): number {
    return this.#tokenCount;
  }

  /** The verdict on the tokens received so far. */
  get verdict(): TokenVerdict {
    return this.#verdict;
  }

  /**
   * Checks the next chunk of the answer's text.
   * @param text Tokens of the form `adapter@version#index `, also partial.
   */
  read(text: string): void {
    const tokens = (this.#partialToken + text).split(" ");
    this.#partialToken = tokens.pop() ?? "";
    for (const token of tokens) {
      const expected = `${this.#adapter}#${this.#tokenCount}`;
      if (token !== expected) this.#verdict = "misdelivered";
      this.#tokenCount += 1;
    }
  }
}
