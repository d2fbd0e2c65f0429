import {
  assertInvariant,
  configurationRecordSchema,
  type FirstVerdict,
  formatConfigurationRecord,
  logOffset,
} from "@foxtailwind/core";
import type { SeededRandom } from "@foxtailwind/standins";
import type { ConfigurationLog } from "./configuration_log.ts";
import type { ConfigurationNode } from "./configuration_node.ts";
import {
  type ConfigurationReference,
  UPGRADED_FORMAT,
} from "./configuration_reference.ts";

const ITEMS = 4;
const LOSE_ANSWER = 0.3;
const RESEND = 0.5;
const OLD_BASE = 0.3;
const REMOVE = 0.25;

interface OpenChange {
  readonly id: string;
  readonly text: string;
  readonly offset: number | undefined;
}

/** An operator of a randomised run: races, loses answers, sends again. */
export class ConfigurationOperator {
  readonly #name: string;
  readonly #log: ConfigurationLog;
  readonly #reference: ConfigurationReference;
  readonly #random: SeededRandom;
  #count = 0;
  #open: OpenChange | undefined;
  #format = 1;

  constructor(name: string, world: {
    readonly log: ConfigurationLog;
    readonly reference: ConfigurationReference;
    readonly random: SeededRandom;
  }) {
    this.#name = name;
    this.#log = world.log;
    this.#reference = world.reference;
    this.#random = world.random;
  }

  /** Writes records of the newer format from now on. */
  upgrade(): void {
    this.#format = UPGRADED_FORMAT;
  }

  /**
   * Publishes through a node, or goes on with the change in progress.
   * @param node The node.
   */
  act(node: ConfigurationNode): void {
    if (this.#open !== undefined) this.#settle(this.#open, node);
    else this.#send(this.#makeChange(node));
  }

  #makeChange(node: ConfigurationNode): Omit<OpenChange, "offset"> {
    const id = `${this.#name}-${this.#count}`;
    this.#count += 1;
    const age = this.#random.happens(OLD_BASE) ? this.#draw(ITEMS) : 0;
    const name = `class-${this.#draw(ITEMS)}`;
    const change = this.#random.happens(REMOVE)
      ? { kind: "remove_class", class: name }
      : {
        kind: "set_class",
        class: name,
        target: { firstTokenMilliseconds: 1 + this.#count },
      };
    const record = configurationRecordSchema.parse({
      id,
      author: this.#name,
      base: Math.max(-1, node.offset - age),
      changes: [change],
    });
    const text = formatConfigurationRecord(record);
    return { id, text: text.replace(`"format":1`, `"format":${this.#format}`) };
  }

  #send(change: Omit<OpenChange, "offset">): void {
    if (this.#log.isOut) {
      this.#open = { ...change, offset: undefined };
      return;
    }
    const offset = this.#log.append(change.text);
    const isLost = this.#random.happens(LOSE_ANSWER);
    this.#open = { ...change, offset: isLost ? undefined : offset };
  }

  #settle(open: OpenChange, node: ConfigurationNode): void {
    const found = [...node.reader.configuration.recent.all]
      .find(({ id }) => id === open.id);
    if (found !== undefined) {
      this.#checkAnswer(open.id, found.verdict);
      this.#open = undefined;
    } else if (open.offset === undefined && this.#random.happens(RESEND)) {
      this.#send(open);
    } else if (node.offset >= logOffset(open.offset ?? Infinity)) {
      this.#checkAnswer(open.id, undefined);
    }
  }

  #checkAnswer(id: string, answer: FirstVerdict | undefined): void {
    const expected = this.#reference.verdictOf(id);
    assertInvariant(
      JSON.stringify(answer) === JSON.stringify(expected),
      "configuration_answers_hold",
      () => `Change ${id} was answered as ${JSON.stringify(answer)}.`,
    );
  }

  #draw(below: number): number {
    return Math.floor(this.#random.next() * below);
  }
}
