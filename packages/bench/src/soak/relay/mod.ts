/**
 * A randomised run of relays on stand-ins, in real time.
 * @module
 */
export * from "./crashes/mod.ts";
export * from "./node_parts.ts";
export { checkNotices } from "./notice_checks.ts";
export * from "./relay_mutants.ts";
export * from "./relay_soak.ts";
export { drawReturnScript } from "./return_script.ts";
export * from "./stream_checks.ts";
export * from "./stream_script.ts";
export { RelayWorld as RelaySoakWorld } from "./relay_world.ts";
export {
  RelayRecord as RelaySoakRecord,
  type SendRecord,
} from "./relay_record.ts";
export { SoakEngine } from "./soak_engine.ts";
