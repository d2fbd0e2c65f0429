/**
 * What the nodes say to each other, over gRPC. Generated code; see buf.gen.yaml.
 * @module
 */
export * from "./generated/peer.ts";
export {
  ConfigurationClient,
  ConfigurationService,
  type FollowAnswer,
  type FollowRequest,
  type StatusAnswer,
  type StatusRequest,
} from "./generated/configuration.ts";
