import type { IdempotencyKey, IncarnationId, NodeId } from "../shared/mod.ts";
import type { KeyClaim } from "./claim_record.ts";
import type { ExecutionKey } from "./execution_key.ts";
import type { RunResult } from "./key_ledger.ts";

/** One request with a key, as a node takes it. */
export interface KeyedCall {
  /** Names the request on this node; its answer carries it. */
  readonly ticket: number;
  readonly key: ExecutionKey;
  /** Names the request's body: one key stands for one body. */
  readonly digest: string;
  /** Present where a peer forwarded the request. */
  readonly forPeer?: {
    /** The only incarnation that the peer wants an answer of. */
    readonly incarnation: IncarnationId;
    /** The claim that won a free key; empty on bound keys. */
    readonly nonce: string;
  };
}

/** What is to be done for requests with keys. */
export type KeyAction =
  | { readonly kind: "claim"; readonly claim: KeyClaim }
  | {
    /** Runs the request of the ticket, once. */
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
