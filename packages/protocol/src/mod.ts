/**
 * What the nodes say to each other, over gRPC. Generated code; see buf.gen.yaml.
 * @module
 */
export * from "./generated/peer.ts";
export {
  ClusterClient,
  ClusterEnvelope,
  ClusterService,
  type Delivered,
  type DigestEntryMessage,
  type HeartbeatMessage,
  type MemberMessage,
  type NodeRunMessage,
  type PromiseAnswerMessage,
  type PromiseAskMessage,
} from "./generated/cluster.ts";
