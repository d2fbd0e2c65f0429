import type { Brand } from "../shared/mod.ts";

/** Identifies a configuration item, for example `class/drafting`. */
export type ItemKey = Brand<string, "ItemKey">;

/** The fields of a change that identify its item. */
export type ItemIdentity =
  | { readonly kind: "set_class" | "remove_class"; readonly class: string }
  | { readonly kind: "set_tenant" | "remove_tenant"; readonly tenant: string }
  | {
    readonly kind: "set_adapter" | "remove_adapter";
    readonly adapter: string;
  }
  | {
    readonly kind: "set_service" | "remove_service";
    readonly service: string;
  };

/**
 * Returns the key of the item that a change affects.
 * @param change The change.
 * @returns The item's key.
 */
export function itemKeyOf(change: ItemIdentity): ItemKey {
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
