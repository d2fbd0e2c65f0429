import {
  assertInvariant,
  ConfigurationReader,
  ConfigurationRules,
  type FirstVerdict,
  type LogOffset,
} from "@foxtailwind/core";
import type { ConfigurationLog } from "./configuration_log.ts";

/** The format of the records that only upgraded nodes read. */
export const UPGRADED_FORMAT = 2;

class ReferenceRules extends ConfigurationRules {
  override get newestFormat(): number {
    return UPGRADED_FORMAT;
  }
}

/** A reader that reads every record in order, once; what all must come to. */
export class ConfigurationReference {
  readonly #log: ConfigurationLog;
  readonly #reader = new ConfigurationReader(new ReferenceRules());
  readonly #digests: string[] = [];
  readonly #verdicts = new Map<string, FirstVerdict>();

  constructor(log: ConfigurationLog) {
    this.#log = log;
  }

  /** The digest after the last record. */
  get digest(): string {
    this.#catchUp();
    return this.#reader.configuration.digest;
  }

  /**
   * Checks a node's state at an offset.
   * @param offset The offset.
   * @param digest The node's digest there.
   */
  assertSame(offset: LogOffset, digest: string): void {
    this.#catchUp();
    const expected = this.#digests[offset];
    assertInvariant(
      expected === digest,
      "configuration_readers_agree",
      () => `At offset ${offset} a node has ${digest}, not ${expected}.`,
    );
  }

  /**
   * Tells what became of a change when it was first read.
   * @param id The change's id.
   * @returns The verdict, or nothing where it is not in the log.
   */
  verdictOf(id: string): FirstVerdict | undefined {
    this.#catchUp();
    return this.#verdicts.get(id);
  }

  #catchUp(): void {
    while (this.#digests.length < this.#log.tail) {
      const record = this.#log.all[this.#digests.length];
      if (record === undefined) return;
      this.#reader.read(record);
      const { configuration } = this.#reader;
      this.#digests.push(configuration.digest);
      for (const { id, verdict } of configuration.recent.latest(1)) {
        if (!this.#verdicts.has(id)) this.#verdicts.set(id, verdict);
      }
    }
  }
}
