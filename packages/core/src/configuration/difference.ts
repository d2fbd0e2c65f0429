import type { ConfigurationChange, LatencyTarget } from "./change.ts";
import type { Configuration } from "./configuration.ts";
import { type ItemKey, itemKeyOf } from "./item_key.ts";

/** An item that a change would modify. */
export interface ConfigurationDifference {
  readonly item: ItemKey;
  readonly before: string;
  readonly after: string;
  readonly change: ConfigurationChange;
}

/**
 * Lists the items that changes would modify.
 * @param configuration The configuration in force.
 * @param changes The changes.
 * @returns One difference for each change that is not in force yet.
 */
export function findDifferences(
  configuration: Configuration,
  changes: readonly ConfigurationChange[],
): readonly ConfigurationDifference[] {
  return changes.flatMap((change) => {
    const item = itemKeyOf(change);
    const before = describeChange(configuration.stateAsChange(item));
    const after = describeChange(change);
    return before === after ? [] : [{ item, before, after, change }];
  });
}

/**
 * Describes the state of an item after a change, in one line.
 * @param change The change.
 * @returns The description; equal for changes with equal results.
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

function describeTarget(target: LatencyTarget): string {
  const betweenTokens = target.betweenTokensMilliseconds;
  const wholeAnswer = target.wholeAnswerMilliseconds;
  return [
    `first token ${target.firstTokenMilliseconds} ms`,
    ...(betweenTokens === undefined
      ? []
      : [`between tokens ${betweenTokens} ms`]),
    ...(wholeAnswer === undefined ? [] : [`whole answer ${wholeAnswer} ms`]),
  ].join(", ");
}
