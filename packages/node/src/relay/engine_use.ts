import type { AdapterName, ModelId } from "@foxtailwind/core";

/** The use of an adapter that is asked for. */
export interface UseRequest {
  readonly model: ModelId;
  /** Left out for the base model itself. */
  readonly adapter?: AdapterName["adapter"];
  readonly minimumVersion: number;
  readonly promptTokens: number;
}

/** What an owner answers to a request for use. */
export type UseAnswer =
  | {
    readonly kind: "granted";
    /** 0 where the engine has not told it, or for the base model. */
    readonly version: number;
    /** Ends the use. */
    readonly release: () => void;
  }
  | { readonly kind: "not_owner" }
  | { readonly kind: "no_room" };
