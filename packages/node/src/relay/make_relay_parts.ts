import {
  CallerTimeouts,
  computeClientLimits,
  milliseconds,
  RequestDurations,
  seconds,
} from "@foxtailwind/core";
import type { PeerChannels } from "../peers/peer_channels.ts";
import { AccountAccess } from "./accounts/account_access.ts";
import { AccountQuotas } from "./accounts/account_quotas.ts";
import { AdapterGrants } from "./adapter_grants.ts";
import { AnswerMemory } from "./answer_memory.ts";
import type { EngineOwners } from "./engine_owners.ts";
import type { NodePresence } from "./node_presence.ts";
import {
  type ClientLimit,
  ClientResources,
} from "./clients/client_resources.ts";
import { CrashReports } from "./crashes/crash_reports.ts";
import type { RelayParts } from "./relay_parts.ts";
import type { RelaySettings } from "./relay_settings.ts";
import { RequestLimits } from "./request_limits.ts";
import { RequestPlacer } from "./request_placer.ts";
import { RetryBudgets } from "./retry_budgets.ts";
import type { ServingNodes } from "./serving_nodes.ts";
import type { SharedLog } from "./shared_log.ts";

/** The parts of a node that {@link makeRelayParts} combines. */
export interface RelayPartsOptions extends
  Pick<
    RelayParts,
    | "clock"
    | "knowledge"
    | "loads"
    | "logger"
    | "pools"
    | "recordRefusal"
    | "recordRequest"
    | "streamRecorder"
    | "streams"
    | "wire"
  > {
  readonly settings: RelaySettings;
  readonly owners: EngineOwners;
  readonly presence: NodePresence;
  readonly serving: ServingNodes;
  readonly channels: PeerChannels;
  readonly log: SharedLog;
  /** Counts a limit that callers have reached. */
  readonly recordClientLimit: (limit: ClientLimit) => void;
  /** Called when a server begins or ceases to state a rate limit. */
  readonly onLimitsChanged: () => void;
  /** Asks peers and the log for a proof of the newest configuration. */
  readonly requestProof: () => void;
}

/**
 * Creates the dependencies of request relaying.
 * @param options The node's parts.
 * @returns The dependencies.
 */
export function makeRelayParts(options: RelayPartsOptions): RelayParts {
  const { clock, knowledge, loads, logger, pools } = options;
  const {
    recordRefusal,
    recordRequest: record,
    streamRecorder,
    streams,
    wire,
    settings,
    owners,
    presence,
    serving,
    channels,
    log,
  } = options;
  const { accounts, clients, node, retries, vm } = settings;
  const nodes = () => presence.countNodes(clock.now());
  const limits = new RequestLimits({
    self: node.id,
    knowledge,
    clock,
    logger,
    onChange: options.onLimitsChanged,
  });
  const revocationTime = accounts.revocation_milliseconds === undefined
    ? undefined
    : milliseconds(accounts.revocation_milliseconds);
  return {
    knowledge,
    crashReports: new CrashReports({ knowledge, log, clock, logger }),
    limits,
    access: new AccountAccess({
      knowledge,
      revocationTime: () => revocationTime,
      requestProof: options.requestProof,
    }),
    quotas: new AccountQuotas({
      knowledge,
      clock,
      slack: accounts.quota_slack,
      countNodes: nodes,
    }),
    clock,
    countNodes: nodes,
    pools,
    loads,
    streamRecorder,
    streams,
    wire,
    logger,
    clients: new ClientResources({
      limits: {
        ...computeClientLimits({
          vmMegabytes: vm.memory_megabytes,
          fileDescriptors: vm.file_descriptors,
          megabytes: clients.memory_megabytes,
          connections: clients.connections,
        }),
        requestsAhead: clients.requests_ahead,
        unreadAnswers: clients.unread_answers,
      },
      knowledge,
      clock,
      logger,
      recordLimit: options.recordClientLimit,
    }),
    answerMemory: new AnswerMemory(vm.memory_megabytes),
    recordRefusal,
    recordRequest: record,
    callerTimeouts: new CallerTimeouts(),
    durations: new RequestDurations(),
    plannedStop: () => presence.plannedStop,
    onRequest: () =>
      serving.recordRequest(clock.now()) ? log.catchUp() : undefined,
    retryBudgets: new RetryBudgets({
      limits: {
        retriesPerRequest: retries.share,
        reserve: retries.reserve,
        window: seconds(retries.window_seconds),
        startedAt: clock.now(),
      },
      presentPeers: (now) => knowledge.peers.alive(now),
      countNodes: (now) => presence.countReserveNodes(now),
    }),
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
