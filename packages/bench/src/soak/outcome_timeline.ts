import { SeededRandom } from "@foxtailwind/standins";

interface Planned {
  readonly at: number;
  readonly order: number;
  readonly act: () => void;
}

/** Virtual time: acts planned with random delays, run in their order. */
export class OutcomeTimeline {
  readonly random: SeededRandom;
  #planned: Planned[] = [];
  #now = 0;
  #order = 0;

  /** @param seed The same seed gives the same delays. */
  constructor(seed: number) {
    this.random = new SeededRandom(seed);
  }

  /** The virtual time in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /**
   * Plans an act.
   * @param delay Milliseconds from now.
   * @param act What to do then.
   */
  after(delay: number, act: () => void): void {
    this.#order += 1;
    this.#planned.push({ at: this.#now + delay, order: this.#order, act });
  }

  /**
   * Plans an act after a random delay.
   * @param longest The longest delay in milliseconds.
   * @param act What to do then.
   */
  soon(longest: number, act: () => void): void {
    this.after(this.random.next() * longest, act);
  }

  /**
   * Draws one of several.
   * @param choices The choices, at least one.
   * @returns The choice.
   */
  pick<Choice>(choices: readonly Choice[]): Choice {
    const index = Math.floor(this.random.next() * choices.length);
    const choice = choices[index];
    if (choice === undefined) throw new Error("There is nothing to choose");
    return choice;
  }

  /**
   * Runs the next act.
   * @returns Whether there was one.
   */
  step(): boolean {
    let next: Planned | undefined;
    for (const planned of this.#planned) {
      const isSooner = next === undefined || planned.at < next.at ||
        (planned.at === next.at && planned.order < next.order);
      if (isSooner) next = planned;
    }
    if (next === undefined) return false;
    const chosen = next;
    this.#planned = this.#planned.filter((planned) => planned !== chosen);
    this.#now = chosen.at;
    chosen.act();
    return true;
  }
}
