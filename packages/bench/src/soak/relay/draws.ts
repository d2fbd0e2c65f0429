import { SeededRandom } from "@foxtailwind/standins";

/** FNV-1a, 32 bits: its offset basis and its prime. */
const HASH_START = 2_166_136_261;
const HASH_PRIME = 16_777_619;

/** Decisions that repeat with a seed and a name, whatever else was drawn. */
export class Draws {
  readonly #random: SeededRandom;

  /**
   * @param seed The run's seed.
   * @param name What is decided; each name has its own decisions.
   */
  constructor(seed: number, name: string) {
    let hash = HASH_START;
    for (const character of `${seed}/${name}`) {
      hash = Math.imul(hash ^ (character.codePointAt(0) ?? 0), HASH_PRIME);
    }
    this.#random = new SeededRandom(hash);
  }

  /**
   * Draws a whole number.
   * @param least The least.
   * @param below Above the greatest.
   * @returns The number.
   */
  between(least: number, below: number): number {
    return least + Math.floor(this.#random.next() * (below - least));
  }

  /**
   * Decides by chance.
   * @param probability From 0 to 1.
   * @returns Whether it happens.
   */
  happens(probability: number): boolean {
    return this.#random.happens(probability);
  }

  /**
   * Draws one of several.
   * @param choices The choices, at least one.
   * @returns The choice.
   */
  pick<Choice>(choices: readonly Choice[]): Choice {
    const choice = choices[this.between(0, choices.length)];
    if (choice === undefined) throw new RangeError("There is no choice.");
    return choice;
  }
}
