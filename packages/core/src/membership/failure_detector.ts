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
/** A gap between ticks of more intervals than this was a pause of our own. */
const PAUSE_INTERVALS = 2;

interface Rumour {
  readonly incarnation: IncarnationId;
  readonly state: DigestEntry["state"];
  readonly since: Instant;
  readonly member?: Member;
}

/** Suspects nodes by their silence, measured on one VM's own clock. */
export class FailureDetector {
  readonly #timing: MembershipTiming;
  readonly #heardAt = new Map<NodeId, Instant>();
  readonly #rumours = new Map<NodeId, Rumour>();
  #lastTick: Instant;

  constructor(timing: MembershipTiming, startedAt: Instant) {
    this.#timing = timing;
    this.#lastTick = startedAt;
  }

  /**
   * Takes in a heartbeat.
   * @param now The present time.
   * @param heartbeat The heartbeat.
   */
  heard(now: Instant, heartbeat: Heartbeat): void {
    const { from } = heartbeat;
    this.#heardAt.set(from.node, now);
    const rumour = this.#rumours.get(from.node);
    if (rumour?.state === "suspected") this.#rumours.delete(from.node);
    if (heartbeat.leaving) {
      this.#note(from, { state: "leaving", since: now });
    }
    for (const entry of heartbeat.digest) this.#believe(now, entry);
  }

  /**
   * Notes that a run wants to join.
   * @param now The present time.
   * @param member The run.
   */
  wantsToJoin(now: Instant, member: Member): void {
    this.#note(member, { state: "joining", since: now, member });
  }

  /**
   * Looks for silent peers.
   * @param now The present time.
   * @param peers The peers that send heartbeats to this node.
   */
  tick(now: Instant, peers: readonly Member[]): void {
    this.#forgiveOwnPause(now);
    const watched = new Set(peers.map((peer) => peer.node));
    for (const node of this.#heardAt.keys()) {
      if (!watched.has(node)) this.#heardAt.delete(node);
    }
    for (const peer of peers) this.#watch(now, peer);
    for (const [node, rumour] of this.#rumours) {
      const age = elapsed(rumour.since, now);
      const lifetime = rumour.state === "leaving"
        ? this.#timing.leavingLifetime
        : this.#timing.digestLifetime;
      if (age > lifetime) this.#rumours.delete(node);
    }
  }

  /**
   * Tells what is rumoured of a run.
   * @param run The run.
   * @returns Its state, or nothing where it counts as alive.
   */
  stateOf(run: NodeRun): DigestEntry["state"] | undefined {
    const rumour = this.#rumours.get(run.node);
    return rumour?.incarnation === run.incarnation ? rumour.state : undefined;
  }

  /** The runs that want to join, as far as they are known here. */
  get joining(): readonly Member[] {
    return [...this.#rumours.values()].flatMap((rumour) =>
      rumour.state === "joining" && rumour.member !== undefined
        ? [rumour.member]
        : []
    );
  }

  /**
   * Gives the newest rumours, for the next heartbeat.
   * @param now The present time.
   * @returns A bounded number of entries.
   */
  digest(now: Instant): readonly DigestEntry[] {
    const entries = [...this.#rumours].map(([node, rumour]) => ({
      node,
      incarnation: rumour.incarnation,
      state: rumour.state,
      age: elapsed(rumour.since, now),
      ...(rumour.member === undefined ? {} : { member: rumour.member }),
    }));
    const fresh = entries.filter(({ age }) =>
      age <= this.#timing.digestLifetime
    );
    fresh.sort((left, right) => left.age - right.age);
    return fresh.slice(0, MAXIMUM_DIGEST_ENTRIES);
  }

  #watch(now: Instant, peer: Member): void {
    const heardAt = this.#heardAt.get(peer.node);
    if (heardAt === undefined) {
      this.#heardAt.set(peer.node, now);
      return;
    }
    if (elapsed(heardAt, now) <= this.#timing.suspectAfter) return;
    if (this.stateOf(peer) === "leaving") return;
    this.#rumours.set(peer.node, {
      incarnation: peer.incarnation,
      state: "suspected",
      since: now,
    });
  }

  #believe(now: Instant, entry: DigestEntry): void {
    if (entry.age > this.#timing.digestLifetime) return;
    const heardAt = this.#heardAt.get(entry.node);
    const heardLately = heardAt !== undefined &&
      elapsed(heardAt, now) <= this.#timing.suspectAfter;
    if (entry.state === "suspected" && heardLately) return;
    const { node, incarnation, state, member } = entry;
    this.#note({ node, incarnation }, {
      state,
      since: instant(now - entry.age),
      ...(member === undefined ? {} : { member }),
    });
  }

  #note(run: NodeRun, rumour: Omit<Rumour, "incarnation">): void {
    const known = this.#rumours.get(run.node);
    const hasLeft = known?.incarnation === run.incarnation &&
      known.state === "leaving" && rumour.state !== "leaving";
    if (hasLeft) return;
    const isNews = known?.incarnation !== run.incarnation ||
      known.state !== rumour.state || known.since < rumour.since;
    if (!isNews) return;
    this.#rumours.set(run.node, { ...rumour, incarnation: run.incarnation });
  }

  #forgiveOwnPause(now: Instant): void {
    const gap = elapsed(this.#lastTick, now);
    this.#lastTick = now;
    if (gap <= this.#timing.heartbeatInterval * PAUSE_INTERVALS) return;
    for (const node of this.#heardAt.keys()) this.#heardAt.set(node, now);
  }
}
