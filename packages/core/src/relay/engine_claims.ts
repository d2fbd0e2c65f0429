import {
  type BackendServerId,
  type Duration,
  elapsed,
  type FencingNumber,
  fencingNumber,
  type Instant,
  later,
  type LogOffset,
  milliseconds,
  type NodeId,
  rendezvousChoice,
} from "../shared/mod.ts";
import { eraOf, type LogEra } from "./log/log_position.ts";

/** The newest claim to one engine in the log. */
export interface EngineClaim {
  readonly engine: BackendServerId;
  readonly owner: NodeId;
  /** The run of the owner's process that made the claim. */
  readonly incarnation: string;
  /**
   * The claim's offset in the log, from which the fencing number of orders is
   * derived.
   */
  readonly offset: LogOffset;
  /** The time that the owner waits before its first order. */
  readonly wait: Duration;
  readonly seenAt: Instant;
}

/**
 * Permission to order an engine: the fencing number, and the time from which it
 * is valid.
 */
export interface OrderPermission {
  readonly fence: FencingNumber;
  /** Before this time, orders of an earlier owner may still arrive. */
  readonly validFrom: Instant;
}

/** The state of the cluster from which claims are decided. */
export interface ClusterView {
  readonly engines: readonly BackendServerId[];
  /**
   * The nodes heard from recently, including this one, without those that are
   * leaving.
   */
  readonly nodes: readonly NodeId[];
  /** Those of `nodes` that may claim an engine without an owner. */
  readonly candidates: readonly NodeId[];
  /** Nodes that have announced that they stop, and send no more orders. */
  readonly stoppedNodes: ReadonlySet<NodeId>;
  /** The engines that other nodes have lately said they own. */
  readonly enginesOfPeers: ReadonlySet<BackendServerId>;
}

/** The identity of a node in claims. */
export interface Claimant {
  readonly id: NodeId;
  readonly incarnation: string;
}

/**
 * The minimum time that a claim stands, so that nodes that can't reach each
 * other don't claim an engine from one another in turns.
 */
const MINIMUM_TENURE = milliseconds(6_000);

const NO_WAIT = milliseconds(0);
/**
 * How long orders of a stopped owner may still be in flight: twice the time
 * after which an order counts as unanswered.
 */
const HANDOVER_WAIT = milliseconds(160);

/**
 * Folds the claims in the log and decides which ones to append. Claims are
 * appended only at the end of the log as this node has read it, so that each
 * claim was made with knowledge of all earlier ones. A claim refers to an
 * engine's id and outlives restarts of the engine and a temporary loss of its
 * registry entry. If it were forgotten, the next claim would be made without
 * waiting for the orders of the previous owner.
 */
export class EngineClaims {
  readonly #self: Claimant;
  readonly #takeoverWait: Duration;
  readonly #claims = new Map<BackendServerId, EngineClaim>();
  #era: LogEra = 0;
  readonly #refusedFences = new Map<BackendServerId, FencingNumber>();

  /**
   * @param self This node.
   * @param takeoverWait How long a new owner waits after its claim, so that
   * orders of two owners never alternate within a lease.
   */
  constructor(self: Claimant, takeoverWait: Duration) {
    this.#self = self;
    this.#takeoverWait = takeoverWait;
  }

  /**
   * Records that the log has come back from an older copy. Claims stand, but
   * their owners have to write those again that the copy lacks.
   * @param era The era of the copy.
   */
  recordRestore(era: LogEra): void {
    this.#era = Math.max(era, this.#era);
  }

  /**
   * Applies a claim from the log.
   * @param claim The claim.
   */
  apply(claim: EngineClaim): void {
    const known = this.#claims.get(claim.engine);
    if (known !== undefined && known.offset >= claim.offset) return;
    this.#claims.set(claim.engine, claim);
  }

  /**
   * Returns the owner of an engine.
   * @param engine The engine.
   * @returns The owner, or `undefined` if no node has claimed it.
   */
  owner(engine: BackendServerId): NodeId | undefined {
    return this.#claims.get(engine)?.owner;
  }

  /**
   * Returns this node's permission to order an engine.
   * @param engine The engine.
   * @returns The permission, or `undefined` if another node owns the engine or
   * the engine has refused this node's fencing number.
   */
  orderPermission(engine: BackendServerId): OrderPermission | undefined {
    const claim = this.#claims.get(engine);
    if (claim === undefined || !this.#isOwn(claim)) return undefined;
    const fence = fencingNumber(claim.offset + 1);
    if (this.#refusedFences.get(engine) === fence) return undefined;
    return { fence, validFrom: later(claim.seenAt, claim.wait) };
  }

  /**
   * Records that an engine has refused a fencing number, which is not used
   * again.
   * @param engine The engine.
   * @param fence The refused fencing number.
   */
  recordRefusal(engine: BackendServerId, fence: FencingNumber): void {
    this.#refusedFences.set(engine, fence);
  }

  /**
   * Lists the engines that this node should claim now.
   * @param now The present time.
   * @param view The engines and nodes that are present.
   * @returns The engines.
   */
  enginesToClaim(now: Instant, view: ClusterView): readonly BackendServerId[] {
    return view.engines.filter((engine) =>
      this.#isLostOwn(engine) ||
      this.#isClaimable(now, engine, view) &&
        rendezvousChoice(engine, view.candidates) === this.#self.id
    );
  }

  /**
   * Returns how long this node waits after a claim. An earlier run of its own
   * process doesn't count as another owner, since its orders come from the same
   * VM. Orders of an owner that has stopped can't alternate with those of a new
   * one; those of any other owner can.
   * @param engine The engine.
   * @param stoppedNodes Nodes that have announced that they stop.
   * @returns The wait before the first order.
   */
  waitAfterClaim(
    engine: BackendServerId,
    stoppedNodes: ReadonlySet<NodeId>,
  ): Duration {
    const claim = this.#claims.get(engine);
    if (claim === undefined) return NO_WAIT;
    if (claim.owner === this.#self.id) {
      return this.#refusedFences.has(engine) ? this.#takeoverWait : NO_WAIT;
    }
    return stoppedNodes.has(claim.owner) ? HANDOVER_WAIT : this.#takeoverWait;
  }

  /**
   * Lists the engines that this node may claim without waiting for news from
   * others: those that an earlier run of it owned and that no other node has
   * claimed since, and those whose claim the log may have lost.
   * @param engines The engines that are present.
   * @returns The engines.
   */
  enginesToReclaim(
    engines: readonly BackendServerId[],
  ): readonly BackendServerId[] {
    return engines.filter((engine) => {
      const claim = this.#claims.get(engine);
      return claim?.owner === this.#self.id &&
        (!this.#isOwn(claim) || this.#isLostOwn(engine));
    });
  }

  #isClaimable(
    now: Instant,
    engine: BackendServerId,
    view: ClusterView,
  ): boolean {
    const { nodes, stoppedNodes: left } = view;
    const claim = this.#claims.get(engine);
    // The log may have lost the claim of a node that goes on.
    if (claim === undefined) return !view.enginesOfPeers.has(engine);
    if (claim.owner === this.#self.id) {
      return !this.#isOwn(claim) || this.orderPermission(engine) === undefined;
    }
    if (nodes.includes(claim.owner)) return false;
    if (left.has(claim.owner)) return true;
    return elapsed(claim.seenAt, now) >= MINIMUM_TENURE;
  }

  /** Tells whether the log may have lost this node's claim of an engine. */
  #isLostOwn(engine: BackendServerId): boolean {
    const claim = this.#claims.get(engine);
    return claim !== undefined && this.#isOwn(claim) &&
      eraOf(claim.offset) < this.#era;
  }

  #isOwn(claim: EngineClaim): boolean {
    return claim.owner === this.#self.id &&
      claim.incarnation === this.#self.incarnation;
  }
}
