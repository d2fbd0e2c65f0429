import type { Brand } from "../shared/mod.ts";
import type { ConfigurationChange } from "./change.ts";

/** Names one item of the configuration, as `class/drafting`. */
export type ItemKey = Brand<string, "ItemKey">;

/**
 * Names the item that a change is about.
 * @param change The change.
 * @returns The item's key.
 */
export function itemKeyOf(change: ConfigurationChange): ItemKey {
  switch (change.kind) {
    case "set_class":
    case "remove_class":
      return `class/${change.class}` as ItemKey;
    case "set_tenant":
    case "remove_tenant":
      return `tenant/${change.tenant}` as ItemKey;
    case "set_adapter":
    case "remove_adapter":
      return `adapter/${change.adapter}` as ItemKey;
    case "set_service":
    case "remove_service":
      return `service/${change.service}` as ItemKey;
  }
}
