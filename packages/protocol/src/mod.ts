/**
 * What the nodes say to each other, over gRPC. Generated code; see buf.gen.yaml.
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
