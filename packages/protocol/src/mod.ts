/**
 * The messages and services of the gRPC protocol between nodes. The code is
 * generated, see buf.gen.yaml.
 * @module
 */
export {
  ClaimBatch,
  ClaimVerdict,
  ClaimVerdicts,
  KeyClaim,
  KeyedOutcome,
  KeyedRun,
  OutcomesClient,
  OutcomesService,
} from "./generated/outcomes.ts";
export * from "./generated/peer.ts";
export * as telemetry from "./generated/telemetry.ts";
export {
  ConfigurationClient,
  ConfigurationService,
  type FollowAnswer,
  type FollowRequest,
  type StatusAnswer,
  type StatusRequest,
} from "./generated/configuration.ts";
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
export {
  type AdapterChange,
  type ClassLoad,
  EngineSummariesClient,
  EngineSummariesService,
  type EngineSummary,
  type LoadedAdapter,
  LoadPermitsClient,
  LoadPermitsService,
  type PermitAnswer,
  type PermitMessage,
  Standing,
  type WatchRequest,
  type Wish,
  type WishList,
} from "./generated/loads.ts";
export {
  AccountUse,
  AdapterGrant,
  AdapterUse,
  EngineDigest,
  type EngineMiss,
  type EngineMissNoted,
  EngineStates,
  ExchangeAnswer,
  type ExchangeQuestion,
  GrantOutcome,
  type HeldAdapter,
  Knowledge,
  type KnowledgePart,
  KnowledgeRequest,
  type LinkAnswer,
  type LinkQuestion,
  NodeDigest,
  type NodeNews,
  PeerDatagram,
  RelayPeersClient,
  type RelayPeersServer,
  RelayPeersService,
  RetryUse,
  type ServerLimit,
  type StreamOrigin,
  type StreamOriginAnswer,
} from "./generated/relay.ts";
