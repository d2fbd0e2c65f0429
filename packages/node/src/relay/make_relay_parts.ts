import { CallerTimeouts, later, seconds } from "@foxtailwind/core";
import type { PeerChannels } from "../peers/peer_channels.ts";
import { AdapterGrants } from "./adapter_grants.ts";
import type { EngineOwners } from "./engine_owners.ts";
import type { NodePresence } from "./node_presence.ts";
import { CrashReports } from "./crash_reports.ts";
import type { RelayParts } from "./relay_parts.ts";
import type { RelaySettings } from "./relay_settings.ts";
import { RequestLimits } from "./request_limits.ts";
import { RequestPlacer } from "./request_placer.ts";
import { RetryAllowances } from "./retry_allowances.ts";
import type { ServingNodes } from "./serving_nodes.ts";
import type { SharedLog } from "./shared_log.ts";

/** The parts of a node that relaying requests is put together from. */
export interface RelayPartsTerms extends
  Pick<
    RelayParts,
    | "clock"
    | "knowledge"
    | "loads"
    | "logger"
    | "pools"
    | "record"
    | "wire"
  > {
  readonly settings: RelaySettings;
  readonly owners: EngineOwners;
  readonly presence: NodePresence;
  readonly serving: ServingNodes;
  readonly channels: PeerChannels;
  readonly log: SharedLog;
  /** Called where a server has begun or ceased to name a limit. */
  readonly limitsChanged: () => void;
}

/**
 * Puts together what relaying requests works with.
 * @param terms The node's parts.
 * @returns What a request is relayed with.
 */
export function makeRelayParts(terms: RelayPartsTerms): RelayParts {
  const { clock, knowledge, loads, logger, pools } = terms;
  const { record, wire, settings, owners, presence, serving, channels, log } =
    terms;
  const { node, retries } = settings;
  const nodes = () => presence.countNodes(clock.now());
  const limits = new RequestLimits({
    self: node.id,
    knowledge,
    clock,
    logger,
    changed: terms.limitsChanged,
  });
  const window = seconds(retries.window_seconds);
  return {
    knowledge,
    crashes: new CrashReports({ knowledge, log, clock, logger }),
    limits,
    clock,
    nodes,
    pools,
    loads,
    wire,
    logger,
    record,
    patience: new CallerTimeouts(),
    plannedStop: () => presence.plannedStop,
    asked: () => serving.asked(clock.now()) ? log.catchUp() : undefined,
    allowances: new RetryAllowances({
      retriesPerRequest: retries.share,
      reserve: retries.reserve,
      window,
      reserveFrom: later(clock.now(), window),
    }, nodes),
    placer: new RequestPlacer({
      self: node.id,
      knowledge,
      owners,
      grants: new AdapterGrants(node.id, owners, channels),
      loads,
      limits,
      clock,
    }),
  };
}
