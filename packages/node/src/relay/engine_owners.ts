import {
  type BackendServerId,
  backendServerId,
  type Failure,
  type Instant,
  later,
  milliseconds,
  type NodeId,
  nodeId,
  type ServiceId,
  UnansweredLoads,
} from "@foxtailwind/core";
import type { EngineDigest } from "@foxtailwind/protocol";
import { EngineOwner } from "./engine_owner.ts";
import type { EngineOwnerParts } from "./engine_owner_parts.ts";
import type { Result } from "neverthrow";
import type { ClaimRecord, SharedLog } from "./shared_log.ts";

/** Dependencies of `EngineOwners`. */
export interface EngineOwnersParts
  extends Omit<EngineOwnerParts, "earlierUnansweredLoads"> {
  readonly log: SharedLog;
  readonly incarnation: string;
  /** Whether this node is stopping and hands its engines over. */
  readonly isLeaving: () => boolean;
  /** Whether this node reaches no server of a service. */
  readonly isUnreached: (service: ServiceId) => boolean;
  /** Called when this node has gained an engine, to inform other nodes. */
  readonly onEngineGained: () => void;
}

/** After its start, a node listens to its peers this long before it claims. */
const INITIAL_LISTENING_MILLISECONDS = 1_000;
/**
 * After another node's claim came first, a node waits a random part of this
 * time, multiplied by the number of nodes, before it claims again. A claim
 * takes about 10 ms, so nodes that all wait then claim one after the other,
 * each with an up-to-date view of the log.
 */
const CLAIM_SPACING_MILLISECONDS = 10;

/** Manages the engines that this node owns, and claims further ones. */
export class EngineOwners {
  readonly #parts: EngineOwnersParts;
  readonly #owners = new Map<BackendServerId, EngineOwner>();
  /**
   * Outlives the owners: the engine may leave the registry or pass to another
   * node, and restart while this node's orders are still in flight.
   */
  readonly #unansweredLoads = new Map<BackendServerId, UnansweredLoads>();
  readonly #startedAt: Instant;
  #isClaiming = false;
  /** Earlier claims would probably conflict with other nodes' claims again. */
  #nextClaimAt: Instant | undefined;

  /** @param parts The dependencies. */
  constructor(parts: EngineOwnersParts) {
    this.#parts = parts;
    this.#startedAt = parts.clock.now();
  }

  /** Whether this node owns any engine. */
  get ownsAny(): boolean {
    return this.#owners.size > 0;
  }

  /** The digests of this node's engines that are sent to other nodes. */
  get digests(): readonly EngineDigest[] {
    return [...this.#owners.values()].map((owner) => owner.digest);
  }

  /**
   * Finds the owner object of an engine.
   * @param engine The engine.
   * @returns The owner, or `undefined` if this node doesn't own the engine.
   */
  find(engine: BackendServerId): EngineOwner | undefined {
    return this.#owners.get(engine);
  }

  /** Applies the known claims and servers, and claims further engines. */
  refresh(): void {
    const { knowledge } = this.#parts;
    const engines = knowledge.engines;
    const ids = new Set(engines.map((engine) => engine.id));
    for (const [id, owner] of this.#owners) {
      const isKept = ids.has(id) &&
        knowledge.claims.orderPermission(id) !== undefined &&
        !this.#parts.isLeaving();
      if (isKept) continue;
      owner.stop();
      this.#owners.delete(id);
    }
    if (this.#parts.isLeaving()) return;
    for (const engine of engines) this.#updateOwner(engine.id);
    void this.#claim();
  }

  /** Stops all owners. */
  stop(): void {
    for (const owner of this.#owners.values()) owner.stop();
    this.#owners.clear();
  }

  #updateOwner(id: BackendServerId): void {
    const { knowledge } = this.#parts;
    const server = knowledge.registry.find(id);
    if (server === undefined) return;
    const known = this.#owners.get(id);
    if (known !== undefined) {
      known.update(server);
      return;
    }
    if (knowledge.claims.orderPermission(id) === undefined) return;
    const specification = knowledge.routes?.service(server.service)?.engine;
    if (specification === undefined) return;
    const unansweredLoads = this.#unansweredLoads.get(id) ??
      new UnansweredLoads();
    this.#unansweredLoads.set(id, unansweredLoads);
    const parts = {
      ...this.#parts,
      earlierUnansweredLoads: unansweredLoads,
    };
    const owner = new EngineOwner(server, specification, parts);
    this.#owners.set(id, owner);
    void owner.runDueSteps();
    this.#parts.onEngineGained();
  }

  async #claim(): Promise<void> {
    const { knowledge, clock, log, logger } = this.#parts;
    const now = clock.now();
    if (this.#isClaiming || !knowledge.isLogReachable(now)) return;
    if (this.#nextClaimAt !== undefined && now < this.#nextClaimAt) return;
    if (this.#enginesToClaim(now).length === 0) return;
    this.#isClaiming = true;
    await log.catchUp();
    const added = await this.#addClaims(clock.now());
    this.#isClaiming = false;
    if (added?.isOk() === true && !added.value) {
      const delay = CLAIM_SPACING_MILLISECONDS * knowledge.readerCount *
        Math.random();
      this.#nextClaimAt = later(clock.now(), milliseconds(delay));
    }
    if (added?.isErr() === true) {
      logger.warn("Claims of engines were not answered.", {
        step: added.error.step,
        peer: added.error.peer,
        detail: added.error.message,
      });
    }
  }

  async #addClaims(
    now: Instant,
  ): Promise<Result<boolean, Failure> | undefined> {
    const { knowledge, log } = this.#parts;
    const stoppedNodes = knowledge.peers.stoppedNodes(now);
    const claims = this.#enginesToClaim(now)
      .map((engine) => this.#createClaim(engine, stoppedNodes));
    return claims.length === 0 ? undefined : await log.claim(claims);
  }

  #enginesToClaim(now: Instant): readonly BackendServerId[] {
    const { knowledge } = this.#parts;
    if (now - this.#startedAt < INITIAL_LISTENING_MILLISECONDS) {
      return knowledge.claims.enginesToReclaim(
        knowledge.engines.map((engine) => engine.id),
      );
    }
    const services = new Set(knowledge.engines.map(({ service }) => service));
    return [...services].flatMap((service) =>
      this.#enginesToClaimOf(service, now)
    );
  }

  #enginesToClaimOf(
    service: ServiceId,
    now: Instant,
  ): readonly BackendServerId[] {
    const { knowledge } = this.#parts;
    const stoppedNodes = knowledge.peers.stoppedNodes(now);
    const engines = knowledge.engines
      .filter((engine) => engine.service === service)
      .map((engine) => engine.id);
    const nodes = this.#nodesThatReach(service, now);
    const accepting = nodes.filter((node) =>
      knowledge.serving.takesEngines(node)
    );
    return knowledge.claims.enginesToClaim(now, {
      engines,
      nodes,
      candidates: accepting.length > 0 ? accepting : nodes,
      stoppedNodes,
      enginesOfPeers: this.#enginesOfPeers(now),
    });
  }

  #enginesOfPeers(now: Instant): ReadonlySet<BackendServerId> {
    const states = this.#parts.knowledge.peers.alive(now)
      .filter((peer) => !peer.isLeaving)
      .flatMap(({ engineStates }) => engineStates?.engines ?? []);
    return new Set(states.map(({ engine }) => backendServerId(engine)));
  }

  /** Lists the nodes that may own the engines of a service. */
  #nodesThatReach(service: ServiceId, now: Instant): readonly NodeId[] {
    const { knowledge, settings, isUnreached } = this.#parts;
    const self = settings.node.id;
    const peers = knowledge.peers.alive(now).filter((peer) => !peer.isLeaving);
    const reaching = peers
      .filter((peer) => !peer.unreachedServices.includes(service))
      .map((peer) => nodeId(peer.node));
    const able = isUnreached(service) ? reaching : [self, ...reaching];
    return able.length > 0
      ? able
      : [self, ...peers.map((peer) => nodeId(peer.node))];
  }

  #createClaim(
    engine: BackendServerId,
    stoppedNodes: ReadonlySet<NodeId>,
  ): ClaimRecord {
    const { settings, incarnation, knowledge } = this.#parts;
    return {
      engine,
      owner: settings.node.id,
      incarnation,
      wait: knowledge.claims.waitAfterClaim(engine, stoppedNodes),
    };
  }
}
