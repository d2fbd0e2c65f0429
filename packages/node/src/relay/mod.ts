/**
 * The relay: forwards whole requests by route to the backend servers.
 * @module
 */
export {
  type ComponentLogger,
  LoggerFactory,
} from "../logging/component_logger.ts";
export { connectionHeaders } from "../http/connection_headers.ts";
export { ProcessClock } from "../clock/steady_clock.ts";
export { formatSettingsProblem } from "../settings/load_settings.ts";
export type { SocketAddress } from "../settings/settings.ts";
export * from "./accounts/account_access.ts";
export * from "./accounts/account_quotas.ts";
export * from "./accounts/digest_api_key.ts";
export * from "./accounts/proof_age.ts";
export * from "./admission_log.ts";
export * from "./admission_record.ts";
export * from "./bounded_writer.ts";
export * from "./caller_answer.ts";
export * from "./caller_wire.ts";
export * from "./clients/client_resources.ts";
export * from "./clients/request_bodies.ts";
export * from "./clients/request_body.ts";
export * from "./send_history.ts";
export * from "./coalesce_calls.ts";
export * from "./crashes/crash_reports.ts";
export * from "./departure_prober.ts";
export * from "./engine_candidates.ts";
export * from "./engine_control.ts";
export * from "./encoded_numbers.ts";
export * from "./engine_states.ts";
export * from "./operations_wire.ts";
export * from "./relay_daemon.ts";
export * from "./relay_settings.ts";
export * from "./shared_log.ts";
export * from "./answer_memory.ts";
export * from "./backend_call.ts";
export * from "./engine_owner.ts";
export * from "./engine_use.ts";
export * from "./front_server.ts";
export * from "./hedged_search.ts";
export * from "./knowledge.ts";
export * from "./links/link_service.ts";
export * from "./links/peer_links.ts";
export * from "./relay_parts.ts";
export * from "./relay_stop.ts";
export * from "./crashes/request_content.ts";
export * from "./crashes/run_end_finder.ts";
export * from "./adapter_grants.ts";
export * from "./backend_pools.ts";
export * from "./engine_owners.ts";
export * from "./request_limits.ts";
export * from "./placement.ts";
export * from "./request_placer.ts";
export * from "./retry_budgets.ts";
export * from "./server_loads.ts";
export * from "./knowledge_fetcher.ts";
export * from "./knowledge_message.ts";
export * from "./peer_table.ts";
export * from "./exchange_partner.ts";
export * from "./node_presence.ts";
export * from "./peer_datagrams.ts";
export * from "./peer_exchange.ts";
export * from "./peer_forwarder.ts";
export * from "./reach_monitor.ts";
export * from "./serving_nodes.ts";
export * from "./registry/registry_message.ts";
export * from "./registry/registry_refresher.ts";
export * from "./registry/registry_spread.ts";
export * from "./relay_metrics.ts";
export * from "./streams/resumption.ts";
export * from "./streams/stream_archive.ts";
export * from "./streams/stream_directory.ts";
export * from "./streams/stream_record.ts";
export * from "./streams/stream_source_recorder.ts";
export { decodeUse, encodeUse } from "./use_message.ts";
export * from "./work_counts.ts";
