import type { ChangeId, LogOffset } from "../shared/mod.ts";
import type { ItemKey } from "./item_key.ts";

/** The verdict on a record whose id was not read before. */
export type FirstVerdict =
  | { readonly kind: "accepted" }
  | {
    readonly kind: "conflict";
    readonly item: ItemKey;
    /** The offset of the change that came first. */
    readonly winner: LogOffset;
    readonly author: string;
    readonly change: ChangeId;
  }
  | {
    /** The base is too old to be checked, or not read yet. */
    readonly kind: "base_out_of_range";
    readonly oldest: LogOffset;
    readonly newest: LogOffset;
  };

/** The verdict on a record; the same for every reader of the log. */
export type RecordVerdict =
  | FirstVerdict
  | {
    /** The id was read before; the record is not applied again. */
    readonly kind: "repeated";
    readonly first: LogOffset;
    readonly verdict: FirstVerdict;
    /** Whether both records carry the same changes. */
    readonly same: boolean;
  };
