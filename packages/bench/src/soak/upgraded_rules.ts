import { ConfigurationRules, type LogOffset } from "@foxtailwind/core";

/**
 * Gives rules that read a newer format and decide as others do in all else.
 * @param rules The others.
 * @param format The newest format that is read.
 * @returns The rules.
 */
export function upgradedRules(
  rules: ConfigurationRules,
  format: number,
): ConfigurationRules {
  return new UpgradedRules(rules, format);
}

class UpgradedRules extends ConfigurationRules {
  readonly #rules: ConfigurationRules;
  readonly #format: number;

  constructor(rules: ConfigurationRules, format: number) {
    super();
    this.#rules = rules;
    this.#format = format;
  }

  override get newestFormat(): number {
    return this.#format;
  }

  override isUnread(offset: LogOffset, next: LogOffset): boolean {
    return this.#rules.isUnread(offset, next);
  }

  override isBaseCurrent(version: LogOffset, base: LogOffset): boolean {
    return this.#rules.isBaseCurrent(version, base);
  }

  override isRepeat(known: boolean): boolean {
    return this.#rules.isRepeat(known);
  }

  override snapshotCovers(offset: LogOffset): LogOffset {
    return this.#rules.snapshotCovers(offset);
  }

  override onNewerFormat(): "halt" | "skip" {
    return this.#rules.onNewerFormat();
  }

  override isContiguous(from: LogOffset, next: LogOffset): boolean {
    return this.#rules.isContiguous(from, next);
  }
}
