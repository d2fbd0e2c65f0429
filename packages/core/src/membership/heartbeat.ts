import type { IncarnationId, LogOffset, NodeId } from "../shared/mod.ts";
import type { Member } from "./member.ts";

/** What a node says of another one: a rumour that bounded digests carry. */
export interface DigestEntry {
  readonly node: NodeId;
  readonly incarnation: IncarnationId;
  readonly state: "suspected" | "leaving" | "joining";
  /** How long ago the state was first noticed, in milliseconds. */
  readonly age: number;
  /** The member that wants to join; only with `joining`. */
  readonly member?: Member;
}

/** What a node tells its heartbeat peers. */
export interface Heartbeat {
  readonly kind: "heartbeat";
  readonly from: Member;
  readonly leaving: boolean;
  /** The offset of the sender's view. */
  readonly view: LogOffset;
  readonly digest: readonly DigestEntry[];
}
