/**
 * What the nodes say to each other, over gRPC. Generated code; see buf.gen.yaml.
 * @module
 */
export * from "./generated/peer.ts";
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
