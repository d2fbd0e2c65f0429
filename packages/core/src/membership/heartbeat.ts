import type { IncarnationId, LogOffset, NodeId } from "../shared/mod.ts";
import type { Member } from "./member.ts";

/** A node's state as reported by another node, in a digest of bounded size. */
export interface DigestEntry {
  readonly node: NodeId;
  readonly incarnation: IncarnationId;
  readonly state: "suspected" | "leaving" | "joining";
  /** The time since the state was first detected, in milliseconds. */
  readonly age: number;
  /** The member that wants to join; set only for `joining`. */
  readonly member?: Member;
}

/** The message that a node sends to its heartbeat peers. */
export interface Heartbeat {
  readonly kind: "heartbeat";
  readonly from: Member;
  readonly leaving: boolean;
  /** The offset of the sender's view. */
  readonly view: LogOffset;
  readonly digest: readonly DigestEntry[];
}
