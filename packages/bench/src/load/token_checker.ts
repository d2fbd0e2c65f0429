/** What the tokens of an answer prove. */
export type TokenVerdict = "right" | "misdelivered";

/**
 * Checks the tokens of one answer: each must name the adapter asked for and
 * its own place, with none missing, doubled or out of order.
 */
export class TokenChecker {
  readonly #adapter: string;
  #next = 0;
  #verdict: TokenVerdict = "right";
  #rest = "";

  /** @param adapter `adapter@version`. */
  constructor(adapter: string) {
    this.#adapter = adapter;
  }

  /** How many tokens came. */
  get tokens(): number {
    return this.#next;
  }

  /** What they prove so far. */
  get verdict(): TokenVerdict {
    return this.#verdict;
  }

  /**
   * Takes the next piece of the answer's text.
   * @param text Tokens of the form `adapter@version#place `.
   */
  read(text: string): void {
    const words = (this.#rest + text).split(" ");
    this.#rest = words.pop() ?? "";
    for (const word of words) {
      const expected = `${this.#adapter}#${this.#next}`;
      if (word !== expected) this.#verdict = "misdelivered";
      this.#next += 1;
    }
  }
}
