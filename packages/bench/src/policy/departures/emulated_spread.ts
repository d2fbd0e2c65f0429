import {
  type Duration,
  elapsed,
  type ExchangePartners,
  exchangePartners,
  type FailureDomainId,
  failureDomainId,
  type Instant,
  instant,
  later,
  milliseconds,
  type NodeId,
  nodeId,
  type RegistryRenewal,
  RegistryRenewals,
  type RegistryState,
} from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import { EventQueue } from "../simulation/event_queue.ts";
import type { SpreadWay } from "./spread_ways.ts";

/** Which nodes fall silent at the moment of the departure. */
export type SpreadFault = "none" | "watchers" | "watchers_and_hub";

/** The size of an emulated cluster. */
export interface SpreadOptions {
  readonly nodes: number;
  readonly failureDomains: number;
  readonly seed: number;
  /** The share of datagrams that are lost. */
  readonly lostDatagrams?: number;
}

/** What a departure's spread took and cost. */
export interface SpreadResult {
  /** How long after the departure each node that runs knew of it, sorted. */
  readonly delays: readonly number[];
  /** Reads of the registry, from the departure until the end. */
  readonly reads: number;
  /** Exchanges, fetches and datagrams in that time. */
  readonly exchanges: number;
  readonly fetches: number;
  readonly datagrams: number;
}

const WATCHERS = 2;
const WATCHER_PAUSE = milliseconds(650);
const LISTING_PAUSE = milliseconds(4_000);
const READERS_OF_LISTING_PAUSE = 12;
const HUB_PERIOD = milliseconds(300);
const MEMBER_PERIOD = milliseconds(600);
const STANDBY_PERIOD = milliseconds(1_000);
/** The share of nodes that stand by. */
const STANDBY_SHARE = 0.5;
const EXCHANGE_TIMEOUT = milliseconds(500);
const FAILURE_RETENTION = milliseconds(2_000);
const BEHIND_PEERS_DELAY = milliseconds(100);
const FETCH_TIME = milliseconds(60);
const ROUND_TRIP = milliseconds(6);
const DATAGRAM_TIME = milliseconds(8);
const STORE_TIME = milliseconds(5);
/** After this time the next nodes watch in place of silent ones. */
const WATCHER_REPLACEMENT = milliseconds(3_300);
/** Nodes run for so long before the departure. */
const WARM_UP = milliseconds(3_000);
const LIMIT = milliseconds(9_000);

interface EmulatedNode {
  readonly id: NodeId;
  readonly failureDomain: FailureDomainId;
  readonly isServing: boolean;
  readonly period: Duration;
  readonly renewals: RegistryRenewals;
  readonly failedAt: Map<NodeId, Instant>;
  /** When nodes asked this one last. */
  readonly askers: Map<NodeId, Instant>;
  isSilent: boolean;
  /** The moment as of which it certainly has the whole registry. */
  provenAt: Instant;
  /** Whether it has heard that a peer knows more. */
  isBehind: boolean;
  knownAt: Instant | undefined;
}

/**
 * Emulates how nodes hear of a server's departure. Nodes that list the registry
 * for themselves do so at the same time, just before the departure.
 * @param way How they hear of it.
 * @param fault Which nodes fall silent as the server leaves.
 * @param options The size of the cluster, and the seed.
 * @returns When they knew, and what it cost.
 */
export function emulateSpread(
  way: SpreadWay,
  fault: SpreadFault,
  options: SpreadOptions,
): SpreadResult {
  return new EmulatedSpread(way, options).run(fault);
}

class EmulatedSpread {
  readonly #way: SpreadWay;
  readonly #options: SpreadOptions;
  readonly #random: SeededRandom;
  readonly #queue = new EventQueue();
  readonly #nodes: readonly EmulatedNode[];
  readonly #nodesById: ReadonlyMap<NodeId, EmulatedNode>;
  readonly #leftAt: Instant;
  #reads = 0;
  #exchanges = 0;
  #fetches = 0;
  #datagrams = 0;

  constructor(way: SpreadWay, options: SpreadOptions) {
    this.#way = way;
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#nodes = Array.from(
      { length: options.nodes },
      (_, index) => this.#createNode(index),
    );
    this.#nodesById = new Map(this.#nodes.map((node) => [node.id, node]));
    this.#leftAt = instant(WARM_UP + this.#random.next() * WATCHER_PAUSE);
  }

  run(fault: SpreadFault): SpreadResult {
    for (const node of this.#nodes) this.#start(node);
    this.#queue.schedule(this.#leftAt, () => {
      this.#silence(fault);
      this.#reads = 0;
      this.#exchanges = 0;
      this.#fetches = 0;
      this.#datagrams = 0;
    });
    const end = later(this.#leftAt, LIMIT);
    while (this.#queue.now < end && this.#queue.runNext()) {
      // Runs everything that is due.
    }
    const running = this.#nodes.filter(({ isSilent }) => !isSilent);
    const delays = running.map(({ knownAt }) =>
      knownAt === undefined ? LIMIT : elapsed(this.#leftAt, knownAt)
    );
    return {
      delays: delays.toSorted((left, right) => left - right),
      reads: this.#reads,
      exchanges: this.#exchanges,
      fetches: this.#fetches,
      datagrams: this.#datagrams,
    };
  }

  #createNode(index: number): EmulatedNode {
    const isServing = index % 7 === 0;
    const standsBy = !isServing && this.#random.happens(STANDBY_SHARE);
    return {
      id: nodeId(`node-${String(index).padStart(4, "0")}`),
      failureDomain: failureDomainId(
        `domain-${index % this.#options.failureDomains}`,
      ),
      isServing,
      period: standsBy ? STANDBY_PERIOD : MEMBER_PERIOD,
      renewals: new RegistryRenewals(),
      failedAt: new Map(),
      askers: new Map(),
      isSilent: false,
      provenAt: instant(0),
      isBehind: false,
      knownAt: undefined,
    };
  }

  #start(node: EmulatedNode): void {
    this.#after(this.#random.next() * MEMBER_PERIOD, () => {
      this.#exchangeRegularly(node);
    });
    this.#after(this.#random.next() * WATCHER_PAUSE, () => {
      this.#watch(node);
    });
    const listing = LISTING_PAUSE * this.#nodes.length /
      READERS_OF_LISTING_PAUSE;
    this.#after(this.#leftAt + listing, () => {
      this.#read(node);
    });
    if (this.#way.renewsProofs) this.#renew(node);
  }

  #after(delay: number, run: () => void): void {
    this.#queue.schedule(instant(this.#queue.now + delay), run);
  }

  /** Silences the nodes at which the fault strikes. */
  #silence(fault: SpreadFault): void {
    if (fault === "none") return;
    const watchers = this.#watchers();
    for (const watcher of watchers) watcher.isSilent = true;
    if (fault === "watchers") return;
    const hub = this.#nodes.find((node) =>
      !node.isSilent && this.#partnersOf(node).isHub
    );
    if (hub !== undefined) hub.isSilent = true;
  }

  #watchers(): readonly EmulatedNode[] {
    const isReplaced = this.#queue.now >= this.#leftAt + WATCHER_REPLACEMENT;
    return this.#nodes.filter(({ isServing, isSilent }) =>
      isServing && !(isReplaced && isSilent)
    ).slice(0, WATCHERS);
  }

  #watch(node: EmulatedNode): void {
    if (this.#watchers().includes(node)) this.#read(node);
    this.#after(WATCHER_PAUSE, () => {
      this.#watch(node);
    });
  }

  #read(node: EmulatedNode): void {
    if (node.isSilent) return;
    this.#reads += 1;
    const begunAt = this.#queue.now;
    this.#after(STORE_TIME, () => {
      if (node.isSilent) return;
      node.provenAt = begunAt;
      if (begunAt >= this.#leftAt) this.#learn(node, "log");
    });
  }

  #learn(node: EmulatedNode, source: "log" | "peer"): void {
    if (node.knownAt !== undefined || node.isSilent) return;
    node.knownAt = this.#queue.now;
    if (!this.#way.sendsAtOnce) return;
    const { isHub, hubs } = this.#partnersOf(node);
    if (source === "log") {
      for (const id of hubs) this.#send(id);
    }
    if (!isHub) return;
    for (const [id, askedAt] of node.askers) {
      if (elapsed(askedAt, this.#queue.now) < FAILURE_RETENTION) this.#send(id);
    }
  }

  #send(id: NodeId): void {
    this.#datagrams += 1;
    if (this.#random.happens(this.#options.lostDatagrams ?? 0)) return;
    this.#after(DATAGRAM_TIME, () => {
      const node = this.#nodesById.get(id);
      if (node !== undefined) this.#learn(node, "peer");
    });
  }

  #partnersOf(node: EmulatedNode): ExchangePartners {
    const others = this.#nodes.filter((other) => {
      const failedAt = node.failedAt.get(other.id);
      return other !== node && (failedAt === undefined ||
        elapsed(failedAt, this.#queue.now) >= FAILURE_RETENTION);
    });
    return exchangePartners(node, others);
  }

  #exchangeRegularly(node: EmulatedNode): void {
    const { partners, isHub } = this.#partnersOf(node);
    if (!node.isSilent) {
      for (const id of partners) this.#exchange(node, id);
    }
    this.#after(isHub ? HUB_PERIOD : node.period, () => {
      this.#exchangeRegularly(node);
    });
  }

  #exchange(node: EmulatedNode, id: NodeId): void {
    const partner = this.#nodesById.get(id);
    if (partner === undefined) return;
    this.#exchanges += 1;
    const askedAt = this.#queue.now;
    if (partner.isSilent) {
      this.#after(EXCHANGE_TIMEOUT, () => {
        const isFirst = !node.failedAt.has(id);
        node.failedAt.set(id, this.#queue.now);
        if (!isFirst) return;
        for (const next of this.#partnersOf(node).partners) {
          this.#exchange(node, next);
        }
      });
      return;
    }
    this.#after(ROUND_TRIP, () => {
      partner.askers.set(node.id, askedAt);
      this.#applyAnswer(node, partner, askedAt);
      if (node.knownAt !== undefined) this.#hear(partner);
    });
  }

  #applyAnswer(
    node: EmulatedNode,
    partner: EmulatedNode,
    askedAt: Instant,
  ): void {
    if (!this.#way.exchangesChanges) {
      if (partner.knownAt !== undefined || partner.isBehind) this.#hear(node);
      return;
    }
    const provenAt = instant(
      partner.provenAt - elapsed(askedAt, this.#queue.now),
    );
    node.provenAt = instant(Math.max(node.provenAt, provenAt));
    if (partner.knownAt !== undefined) this.#learn(node, "peer");
  }

  /** Notes that a peer knows more; the node fetches it. */
  #hear(node: EmulatedNode): void {
    if (this.#way.exchangesChanges || node.isBehind) return;
    node.isBehind = true;
    this.#after(BEHIND_PEERS_DELAY + FETCH_TIME, () => {
      this.#fetches += 1;
      this.#learn(node, "peer");
    });
  }

  #renew(node: EmulatedNode): void {
    const { isHub, hubs, partners } = this.#partnersOf(node);
    const state: RegistryState = {
      age: elapsed(node.provenAt, this.#queue.now),
      isHub,
      exchangePeriod: isHub ? HUB_PERIOD : node.period,
      isLogReachable: true,
      doPeersReachLog: true,
    };
    if (!node.isSilent && this.#queue.now >= WARM_UP / 2) {
      const renewal = node.renewals.next(this.#queue.now, state);
      this.#carryOut(
        renewal,
        node,
        hubs.filter((id) => !partners.includes(id)),
      );
    }
    this.#after(node.renewals.nextDecisionDelay(state), () => {
      this.#renew(node);
    });
  }

  #carryOut(
    renewal: RegistryRenewal,
    node: EmulatedNode,
    otherHubs: readonly NodeId[],
  ): void {
    const [hub] = otherHubs;
    if (renewal === "read_log") this.#read(node);
    if (renewal === "ask_hub" && hub !== undefined) this.#exchange(node, hub);
  }
}
