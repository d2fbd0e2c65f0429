import {
  type BackendServerId,
  type Failure,
  type Instant,
  later,
  milliseconds,
  type NodeId,
  nodeId,
  UnansweredLoads,
} from "@foxtailwind/core";
import type { EngineDigest } from "@foxtailwind/protocol";
import { EngineOwner } from "./engine_owner.ts";
import type { EngineOwnerParts } from "./engine_owner_parts.ts";
import type { Result } from "neverthrow";
import type { ClaimRecord, SharedLog } from "./shared_log.ts";

/** What owners need besides an engine. */
export interface EngineOwnersParts
  extends Omit<EngineOwnerParts, "lateOrders"> {
  readonly log: SharedLog;
  readonly incarnation: string;
  /** Whether this node is stopping, and gives its engines to others. */
  readonly isLeaving: () => boolean;
  /** Called once this node owns an engine more, which others should know. */
  readonly gained: () => void;
}

/** A node claims engines only after it has listened to its peers so long. */
const LISTENING_MILLISECONDS = 1_000;
/**
 * Where another node's claim came first, a node waits for a part of so many
 * milliseconds for each node before it claims again: a claim takes about
 * 10 ms, so that of nodes that all wait, one after the other finds the log as
 * it has read it.
 */
const CLAIM_SPACING = 10;

/** The engines that this node owns, and the claims that it adds. */
export class EngineOwners {
  readonly #parts: EngineOwnersParts;
  readonly #owners = new Map<BackendServerId, EngineOwner>();
  /**
   * Kept past the end of an owner: the engine may leave the registry, or be
   * another node's, and start again while its orders are on their way.
   */
  readonly #lateOrders = new Map<BackendServerId, UnansweredLoads>();
  readonly #startedAt: Instant;
  #isClaiming = false;
  /** Before it, claims would most likely meet those of other nodes again. */
  #claimsFrom: Instant | undefined;

  /** @param parts What owners work with. */
  constructor(parts: EngineOwnersParts) {
    this.#parts = parts;
    this.#startedAt = parts.clock.now();
  }

  /** Whether this node owns an engine. */
  get ownsAny(): boolean {
    return this.#owners.size > 0;
  }

  /** What other nodes are told of this node's engines. */
  get digests(): readonly EngineDigest[] {
    return [...this.#owners.values()].map((owner) => owner.digest);
  }

  /**
   * Finds the owner of an engine, where this node owns it.
   * @param engine The engine.
   * @returns The owner, or nothing.
   */
  find(engine: BackendServerId): EngineOwner | undefined {
    return this.#owners.get(engine);
  }

  /** Follows the claims and servers that are known, and adds claims. */
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
    for (const engine of engines) this.#own(engine.id);
    void this.#claim();
  }

  /** Stops all owners. */
  stop(): void {
    for (const owner of this.#owners.values()) owner.stop();
    this.#owners.clear();
  }

  #own(id: BackendServerId): void {
    const { knowledge } = this.#parts;
    const server = knowledge.registry.find(id);
    if (server === undefined) return;
    const known = this.#owners.get(id);
    if (known !== undefined) {
      known.update(server);
      return;
    }
    if (knowledge.claims.orderPermission(id) === undefined) return;
    const terms = knowledge.routes?.service(server.service)?.engine;
    if (terms === undefined) return;
    const lateOrders = this.#lateOrders.get(id) ?? new UnansweredLoads();
    this.#lateOrders.set(id, lateOrders);
    const parts = { ...this.#parts, lateOrders };
    const owner = new EngineOwner(server, terms, parts);
    this.#owners.set(id, owner);
    void owner.pump();
    this.#parts.gained();
  }

  async #claim(): Promise<void> {
    const { knowledge, clock, log, logger } = this.#parts;
    const now = clock.now();
    if (this.#isClaiming || !knowledge.isInContact(now)) return;
    if (this.#claimsFrom !== undefined && now < this.#claimsFrom) return;
    if (this.#wanted(now).length === 0) return;
    this.#isClaiming = true;
    await log.catchUp();
    const added = await this.#addClaims(clock.now());
    this.#isClaiming = false;
    if (added?.isOk() === true && !added.value) {
      const spread = CLAIM_SPACING * knowledge.readers * Math.random();
      this.#claimsFrom = later(clock.now(), milliseconds(spread));
    }
    if (added?.isErr() === true) {
      logger.warn("Claims got no answer.", {
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
    const left = knowledge.peers.left(now);
    const claims = this.#wanted(now)
      .map((engine) => this.#record(engine, left));
    return claims.length === 0 ? undefined : await log.claim(claims);
  }

  #wanted(now: Instant): readonly BackendServerId[] {
    const { knowledge, settings } = this.#parts;
    const left = knowledge.peers.left(now);
    const engines = knowledge.engines.map((engine) => engine.id);
    if (now - this.#startedAt < LISTENING_MILLISECONDS) {
      return knowledge.claims.enginesToReclaim(engines);
    }
    const peers = knowledge.peers.alive(now)
      .filter((peer) => !peer.isLeaving)
      .map((peer) => nodeId(peer.node));
    const nodes = [settings.node.id, ...peers];
    const taking = nodes.filter((node) => knowledge.serving.takesEngines(node));
    return knowledge.claims.enginesToClaim(now, {
      engines,
      nodes,
      candidates: taking.length > 0 ? taking : nodes,
      stoppedNodes: left,
    });
  }

  #record(
    engine: BackendServerId,
    left: ReadonlySet<NodeId>,
  ): ClaimRecord {
    const { settings, incarnation, knowledge } = this.#parts;
    return {
      engine,
      owner: settings.node.id,
      incarnation,
      wait: knowledge.claims.waitAfterClaim(engine, left),
    };
  }
}
