import type { ChangeId, LogOffset } from "../shared/mod.ts";
import type { ItemKey } from "./item_key.ts";

/** What became of a record when it was first read. */
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
    /** The base is too old to be checked, or has not been read yet. */
    readonly kind: "base_out_of_range";
    readonly oldest: LogOffset;
    readonly newest: LogOffset;
  };

/** What became of a record. Every reader of the log comes to the same. */
export type RecordVerdict =
  | FirstVerdict
  | {
    /** The id was read before: the same change, which is not applied again. */
    readonly kind: "repeated";
    readonly first: LogOffset;
    readonly verdict: FirstVerdict;
    /** Whether both records carry the same changes. */
    readonly same: boolean;
  };
