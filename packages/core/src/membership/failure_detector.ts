import {
  elapsed,
  type IncarnationId,
  type Instant,
  instant,
  type NodeId,
} from "../shared/mod.ts";
import type { DigestEntry, Heartbeat } from "./heartbeat.ts";
import type { Member, NodeRun } from "./member.ts";
import type { MembershipTiming } from "./timing.ts";

const MAXIMUM_DIGEST_ENTRIES = 16;
/**
 * A gap between ticks of more heartbeat intervals than this means that this
 * process itself was paused.
 */
const PAUSE_THRESHOLD_INTERVALS = 2;

interface ReportedState {
  readonly incarnation: IncarnationId;
  readonly state: DigestEntry["state"];
  readonly since: Instant;
  readonly member?: Member;
}

/**
 * Detects failed nodes by missing heartbeats, measured on the local VM's clock.
 * Nodes also exchange their findings in the digests of their heartbeats.
 */
export class FailureDetector {
  readonly #timing: MembershipTiming;
  readonly #lastHeardAt = new Map<NodeId, Instant>();
  readonly #reportedStates = new Map<NodeId, ReportedState>();
  #lastTick: Instant;

  constructor(timing: MembershipTiming, startedAt: Instant) {
    this.#timing = timing;
    this.#lastTick = startedAt;
  }

  /**
   * Processes a received heartbeat.
   * @param now The current time.
   * @param heartbeat The heartbeat.
   */
  receiveHeartbeat(now: Instant, heartbeat: Heartbeat): void {
    const { from } = heartbeat;
    this.#lastHeardAt.set(from.node, now);
    const reported = this.#reportedStates.get(from.node);
    if (reported?.state === "suspected") this.#reportedStates.delete(from.node);
    if (heartbeat.leaving) {
      this.#recordState(from, { state: "leaving", since: now });
    }
    for (const entry of heartbeat.digest) this.#mergeDigestEntry(now, entry);
  }

  /**
   * Records that a run wants to join.
   * @param now The current time.
   * @param member The run.
   */
  recordJoinRequest(now: Instant, member: Member): void {
    this.#recordState(member, { state: "joining", since: now, member });
  }

  /**
   * Suspects silent peers and drops expired states.
   * @param now The current time.
   * @param peers The peers that send heartbeats to this node.
   */
  tick(now: Instant, peers: readonly Member[]): void {
    this.#resetAfterOwnPause(now);
    const watchedNodes = new Set(peers.map((peer) => peer.node));
    for (const node of this.#lastHeardAt.keys()) {
      if (!watchedNodes.has(node)) this.#lastHeardAt.delete(node);
    }
    for (const peer of peers) this.#checkPeer(now, peer);
    for (const [node, reported] of this.#reportedStates) {
      const age = elapsed(reported.since, now);
      const lifetime = reported.state === "leaving"
        ? this.#timing.leavingLifetime
        : this.#timing.digestLifetime;
      if (age > lifetime) this.#reportedStates.delete(node);
    }
  }

  /**
   * Returns the state reported for a run.
   * @param run The run.
   * @returns Its state, or undefined if it counts as alive.
   */
  stateOf(run: NodeRun): DigestEntry["state"] | undefined {
    const reported = this.#reportedStates.get(run.node);
    return reported?.incarnation === run.incarnation
      ? reported.state
      : undefined;
  }

  /** The runs that want to join, as far as this node knows. */
  get joining(): readonly Member[] {
    return [...this.#reportedStates.values()].flatMap((reported) =>
      reported.state === "joining" && reported.member !== undefined
        ? [reported.member]
        : []
    );
  }

  /**
   * Returns the newest states, for the next heartbeat.
   * @param now The current time.
   * @returns A bounded number of entries.
   */
  digest(now: Instant): readonly DigestEntry[] {
    const entries = [...this.#reportedStates].map(([node, reported]) => ({
      node,
      incarnation: reported.incarnation,
      state: reported.state,
      age: elapsed(reported.since, now),
      ...(reported.member === undefined ? {} : { member: reported.member }),
    }));
    const recent = entries.filter(({ age }) =>
      age <= this.#timing.digestLifetime
    );
    recent.sort((left, right) => left.age - right.age);
    return recent.slice(0, MAXIMUM_DIGEST_ENTRIES);
  }

  #checkPeer(now: Instant, peer: Member): void {
    const lastHeardAt = this.#lastHeardAt.get(peer.node);
    if (lastHeardAt === undefined) {
      this.#lastHeardAt.set(peer.node, now);
      return;
    }
    if (elapsed(lastHeardAt, now) <= this.#timing.suspectAfter) return;
    if (this.stateOf(peer) === "leaving") return;
    this.#reportedStates.set(peer.node, {
      incarnation: peer.incarnation,
      state: "suspected",
      since: now,
    });
  }

  #mergeDigestEntry(now: Instant, entry: DigestEntry): void {
    if (entry.age > this.#timing.digestLifetime) return;
    const lastHeardAt = this.#lastHeardAt.get(entry.node);
    const isHeardRecently = lastHeardAt !== undefined &&
      elapsed(lastHeardAt, now) <= this.#timing.suspectAfter;
    if (entry.state === "suspected" && isHeardRecently) return;
    const { node, incarnation, state, member } = entry;
    this.#recordState({ node, incarnation }, {
      state,
      since: instant(now - entry.age),
      ...(member === undefined ? {} : { member }),
    });
  }

  #recordState(
    run: NodeRun,
    reported: Omit<ReportedState, "incarnation">,
  ): void {
    const known = this.#reportedStates.get(run.node);
    const isAlreadyLeaving = known?.incarnation === run.incarnation &&
      known.state === "leaving" && reported.state !== "leaving";
    if (isAlreadyLeaving) return;
    const isNew = known?.incarnation !== run.incarnation ||
      known.state !== reported.state || known.since < reported.since;
    if (!isNew) return;
    this.#reportedStates.set(run.node, {
      ...reported,
      incarnation: run.incarnation,
    });
  }

  #resetAfterOwnPause(now: Instant): void {
    const gap = elapsed(this.#lastTick, now);
    this.#lastTick = now;
    if (gap <= this.#timing.heartbeatInterval * PAUSE_THRESHOLD_INTERVALS) {
      return;
    }
    for (const node of this.#lastHeardAt.keys()) {
      this.#lastHeardAt.set(node, now);
    }
  }
}
