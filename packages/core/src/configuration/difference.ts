import type { ConfigurationChange, Target } from "./change.ts";
import type { Configuration } from "./configuration.ts";
import { type ItemKey, itemKeyOf } from "./item_key.ts";

/** An item that a change would alter. */
export interface ConfigurationDifference {
  readonly item: ItemKey;
  readonly before: string;
  readonly after: string;
  readonly change: ConfigurationChange;
}

/**
 * Finds what changes would alter.
 * @param configuration The configuration in force.
 * @param changes The changes.
 * @returns One difference for each change that is not yet in force.
 */
export function findDifferences(
  configuration: Configuration,
  changes: readonly ConfigurationChange[],
): readonly ConfigurationDifference[] {
  return changes.flatMap((change) => {
    const item = itemKeyOf(change);
    const before = describeChange(configuration.changeThatMakes(item));
    const after = describeChange(change);
    return before === after ? [] : [{ item, before, after, change }];
  });
}

/**
 * Describes in one line what a change makes of its item.
 * @param change The change.
 * @returns The line; the same for changes that make the same.
 */
export function describeChange(change: ConfigurationChange): string {
  switch (change.kind) {
    case "set_class":
    case "set_service":
      return describeTarget(change.target);
    case "set_tenant":
      return "present";
    case "set_adapter":
      return `${change.model}, versions ${change.versions.join(" ")}, ` +
        `current ${change.current}`;
    case "remove_class":
    case "remove_service":
    case "remove_tenant":
    case "remove_adapter":
      return "absent";
  }
}

function describeTarget(target: Target): string {
  const between = target.betweenTokensMilliseconds;
  const whole = target.wholeAnswerMilliseconds;
  return [
    `first token ${target.firstTokenMilliseconds} ms`,
    ...(between === undefined ? [] : [`between tokens ${between} ms`]),
    ...(whole === undefined ? [] : [`whole answer ${whole} ms`]),
  ].join(", ");
}
