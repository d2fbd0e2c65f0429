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

/** The newest claim to one engine, as the log has it. */
export interface EngineClaim {
  readonly engine: BackendServerId;
  readonly owner: NodeId;
  /** The run of the owner's process that claimed. */
  readonly incarnation: string;
  /** Its place in the log, which fences orders. */
  readonly offset: LogOffset;
  /** How long its owner waits before its first order. */
  readonly wait: Duration;
  readonly seenAt: Instant;
}

/** The right to order an engine: until when it must wait, and its number. */
export interface OrderRight {
  readonly fence: FencingNumber;
  /** Before it, an earlier owner's orders may still arrive. */
  readonly from: Instant;
}

/** What decides who claims. */
export interface ClaimView {
  readonly engines: readonly BackendServerId[];
  /** The nodes heard of lately, this one included, and none that leaves. */
  readonly nodes: readonly NodeId[];
  /** Those of them that take an engine that has no owner. */
  readonly candidates: readonly NodeId[];
  /** Nodes that have said that they stop, and order no more. */
  readonly left: ReadonlySet<NodeId>;
}

/** Who a node is, in claims. */
export interface Claimant {
  readonly id: NodeId;
  readonly incarnation: string;
}

/**
 * How long a claim stands at least, so that nodes that can't hear each other
 * don't take an engine from one another in turns.
 */
const SHORTEST_TENURE = milliseconds(6_000);

const NO_WAIT = milliseconds(0);
/**
 * How long orders of an owner that has stopped may still be on their way:
 * twice the time after which an order counts as unanswered.
 */
const HANDOVER_WAIT = milliseconds(160);

/**
 * Folds the claims in the log and decides which to add. Claims are appended
 * only where the log ends as this node has read it, so that each one in the
 * log was made in knowledge of the ones before it. A claim is to an engine's
 * id, from start to start: who may order it changes with no restart, nor with
 * an entry that vanishes for a while. Were it forgotten, the next one would
 * be made without waiting for the orders of the owner before.
 */
export class EngineClaims {
  readonly #self: Claimant;
  readonly #takeoverWait: Duration;
  readonly #claims = new Map<BackendServerId, EngineClaim>();
  readonly #refused = new Map<BackendServerId, FencingNumber>();

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
   * Takes a claim from the log.
   * @param claim The claim.
   */
  apply(claim: EngineClaim): void {
    const known = this.#claims.get(claim.engine);
    if (known !== undefined && known.offset >= claim.offset) return;
    this.#claims.set(claim.engine, claim);
  }

  /**
   * Tells who owns an engine.
   * @param engine The engine.
   * @returns The owner, or nothing where none has claimed it.
   */
  owner(engine: BackendServerId): NodeId | undefined {
    return this.#claims.get(engine)?.owner;
  }

  /**
   * Gives this node's right to order an engine.
   * @param engine The engine.
   * @returns The right, or nothing where another node has it, or where the
   * engine has refused this node's number.
   */
  right(engine: BackendServerId): OrderRight | undefined {
    const claim = this.#claims.get(engine);
    if (claim === undefined || !this.#isOwn(claim)) return undefined;
    const fence = fencingNumber(claim.offset + 1);
    if (this.#refused.get(engine) === fence) return undefined;
    return { fence, from: later(claim.seenAt, claim.wait) };
  }

  /**
   * Takes note that an engine has refused a number, which is not used again.
   * @param engine The engine.
   * @param fence The refused number.
   */
  refuse(engine: BackendServerId, fence: FencingNumber): void {
    this.#refused.set(engine, fence);
  }

  /**
   * Lists the engines that this node should claim now.
   * @param now The present time.
   * @param view The engines and nodes that are there.
   * @returns The engines.
   */
  wanted(now: Instant, view: ClaimView): readonly BackendServerId[] {
    return view.engines.filter((engine) =>
      this.#isVacant(now, engine, view) &&
      rendezvousChoice(engine, view.candidates) === this.#self.id
    );
  }

  /**
   * Tells how long this node has to wait after a claim. An earlier run of its
   * own process is no other owner: its orders are those of the same VM. An
   * owner that has stopped can't alternate with a new one; any other may.
   * @param engine The engine.
   * @param left Nodes that have said that they stop.
   * @returns The wait before the first order.
   */
  waitAfterClaim(
    engine: BackendServerId,
    left: ReadonlySet<NodeId>,
  ): Duration {
    const claim = this.#claims.get(engine);
    if (claim === undefined) return NO_WAIT;
    if (claim.owner === this.#self.id) {
      return this.#refused.has(engine) ? this.#takeoverWait : NO_WAIT;
    }
    return left.has(claim.owner) ? HANDOVER_WAIT : this.#takeoverWait;
  }

  /**
   * Lists the engines that an earlier run of this node owned, and that no
   * other node has claimed since.
   * @param engines The engines that are there.
   * @returns The engines, to be claimed without listening to others first.
   */
  abandoned(engines: readonly BackendServerId[]): readonly BackendServerId[] {
    return engines.filter((engine) => {
      const claim = this.#claims.get(engine);
      return claim?.owner === this.#self.id && !this.#isOwn(claim);
    });
  }

  #isVacant(
    now: Instant,
    engine: BackendServerId,
    { nodes, left }: ClaimView,
  ): boolean {
    const claim = this.#claims.get(engine);
    if (claim === undefined) return true;
    if (claim.owner === this.#self.id) {
      return !this.#isOwn(claim) || this.right(engine) === undefined;
    }
    if (nodes.includes(claim.owner)) return false;
    if (left.has(claim.owner)) return true;
    return elapsed(claim.seenAt, now) >= SHORTEST_TENURE;
  }

  #isOwn(claim: EngineClaim): boolean {
    return claim.owner === this.#self.id &&
      claim.incarnation === this.#self.incarnation;
  }
}
