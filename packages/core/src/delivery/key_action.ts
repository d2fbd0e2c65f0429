import type { IdempotencyKey, IncarnationId, NodeId } from "../shared/mod.ts";
import type { KeyClaim } from "./claim_record.ts";
import type { ExecutionKey } from "./execution_key.ts";
import type { RunResult } from "./key_ledger.ts";

/** A request with a key, as received by a node. */
export interface KeyedCall {
  /** Identifies the request on this node and in its answer. */
  readonly ticket: number;
  readonly key: ExecutionKey;
  /** The digest of the request's body; a key allows only one body. */
  readonly digest: string;
  /** Present if a peer forwarded the request. */
  readonly forPeer?: {
    /** The incarnation that must answer the request. */
    readonly incarnation: IncarnationId;
    /** The nonce of the free key's winning claim; empty on bound keys. */
    readonly nonce: string;
  };
}

/** An action that a key coordinator asks its caller to carry out. */
export type KeyAction =
  | { readonly kind: "claim"; readonly claim: KeyClaim }
  | {
    /** Runs the request with this ticket once. */
    readonly kind: "run";
    readonly ticket: number;
    readonly key: IdempotencyKey;
  }
  | {
    readonly kind: "forward";
    readonly ticket: number;
    readonly node: NodeId;
    readonly incarnation: IncarnationId;
    readonly nonce: string;
  }
  | {
    readonly kind: "answer";
    readonly ticket: number;
    readonly result: RunResult;
  };
