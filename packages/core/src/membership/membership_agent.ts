import {
  elapsed,
  type Instant,
  type LogOffset,
  type NodeId,
  rendezvousOrder,
} from "../shared/mod.ts";
import { FailureDetector } from "./failure_detector.ts";
import type { Heartbeat } from "./heartbeat.ts";
import { heartbeatPeers } from "./heartbeat_peers.ts";
import { type Member, sameRun } from "./member.ts";
import type { MembershipTiming } from "./timing.ts";
import { findMember, listsRun, type ViewRecord } from "./view.ts";
import type { ViewRegister } from "./view_register.ts";

/** How many nodes of the platform's list a joining node greets. */
const CONTACTS = 3;

/** A node that the platform's lagging list names. */
export interface Contact {
  readonly node: NodeId;
  readonly address: string;
}

/** A heartbeat that is to be sent. */
export interface OutgoingHeartbeat {
  readonly to: Contact;
  readonly heartbeat: Heartbeat;
}

/** What the membership wants done after a tick. */
export interface MembershipActions {
  readonly heartbeats: readonly OutgoingHeartbeat[];
  /** The view that this node proposes now, where it is its turn. */
  readonly proposal?: ViewRecord;
}

/** What a membership agent starts with. */
export interface MembershipAgentOptions {
  /** This run; its generation is set once the log has been read. */
  readonly self: Member;
  readonly timing: MembershipTiming;
  readonly startedAt: Instant;
  readonly register: ViewRegister;
}

/** One node's part in deciding who is a member. */
export class MembershipAgent {
  readonly #timing: MembershipTiming;
  readonly #register: ViewRegister;
  readonly #detector: FailureDetector;
  #self: Member;
  #contacts: readonly Contact[] = [];
  #leaving = false;
  #lastHeartbeat: Instant | undefined;
  #differsSince: Instant | undefined;
  #differsFrom: LogOffset | undefined;
  #proposedAt: Instant | undefined;
  #proposals = 0;

  constructor(options: MembershipAgentOptions) {
    this.#timing = options.timing;
    this.#register = options.register;
    this.#self = options.self;
    this.#detector = new FailureDetector(options.timing, options.startedAt);
  }

  /** This run, with the generation it joins by. */
  get self(): Member {
    return this.#self;
  }

  /** Whether the view in force lists this run. */
  get isMember(): boolean {
    return listsRun(this.#register.view, this.#self);
  }

  /** Whether this node has said that it leaves. */
  get isLeaving(): boolean {
    return this.#leaving;
  }

  /**
   * Takes the entry VMs of the platform's list as a hint whom to greet.
   * @param contacts The nodes.
   */
  setContacts(contacts: readonly Contact[]): void {
    this.#contacts = contacts.filter((one) => one.node !== this.#self.node);
  }

  /** Says from now on that this node leaves. */
  leave(): void {
    this.#leaving = true;
    this.#lastHeartbeat = undefined;
  }

  /**
   * Takes in a heartbeat.
   * @param now The present time.
   * @param heartbeat The heartbeat.
   */
  heard(now: Instant, heartbeat: Heartbeat): void {
    this.#detector.heard(now, heartbeat);
    const isKnown = listsRun(this.#register.view, heartbeat.from);
    if (!isKnown && !heartbeat.leaving && heartbeat.from.generation > 0) {
      this.#detector.wantsToJoin(now, heartbeat.from);
    }
  }

  /**
   * Tells whether a member takes work, as far as this node knows.
   * @param member The member.
   * @returns Whether it is neither suspected nor leaving.
   */
  isLive(member: Member): boolean {
    if (member.node === this.#self.node) return !this.#leaving;
    const state = this.#detector.stateOf(member);
    return state !== "suspected" && state !== "leaving";
  }

  /**
   * Sends heartbeats when they are due and proposes views in its turn.
   * @param now The present time.
   * @param options Whether the log's tail is known, so that a view may be
   * proposed.
   * @returns What is to be done.
   */
  tick(
    now: Instant,
    options: { readonly logIsRead: boolean },
  ): MembershipActions {
    if (options.logIsRead) this.#chooseGeneration();
    const { view } = this.#register;
    const peers = heartbeatPeers(view.members, this.#self);
    this.#detector.tick(now, this.isMember ? peers : []);
    const heartbeats = this.#heartbeats(now, peers);
    if (!options.logIsRead) return { heartbeats };
    const proposal = this.#proposal(now);
    return proposal === undefined ? { heartbeats } : { heartbeats, proposal };
  }

  #chooseGeneration(): void {
    const newest = this.#register.newestRun(this.#self.node);
    const isOwn = newest !== undefined && sameRun(newest, this.#self);
    if (isOwn) return;
    const generation = (newest?.generation ?? 0) + 1;
    this.#self = { ...this.#self, generation };
  }

  #heartbeats(
    now: Instant,
    peers: readonly Member[],
  ): readonly OutgoingHeartbeat[] {
    const last = this.#lastHeartbeat;
    const interval = this.#timing.heartbeatInterval;
    if (last !== undefined && elapsed(last, now) < interval) return [];
    this.#lastHeartbeat = now;
    const heartbeat: Heartbeat = {
      kind: "heartbeat",
      from: this.#self,
      leaving: this.#leaving,
      view: this.#register.view.offset,
      digest: this.#detector.digest(now),
    };
    const isSettled = this.isMember && !this.#leaving;
    const greeted = isSettled ? [] : this.#contacts.slice(0, CONTACTS);
    const targets = new Map<NodeId, Contact>();
    for (const { node, address } of [...greeted, ...peers]) {
      targets.set(node, { node, address });
    }
    return [...targets.values()].map((to) => ({ to, heartbeat }));
  }

  #proposal(now: Instant): ViewRecord | undefined {
    const { view } = this.#register;
    const wanted = this.#wantedMembers();
    if (sameMembers(view.members, wanted)) {
      this.#differsSince = undefined;
      return undefined;
    }
    if (this.#differsFrom !== view.offset) {
      this.#differsFrom = view.offset;
      this.#differsSince = undefined;
      this.#proposedAt = undefined;
    }
    this.#differsSince ??= now;
    const waited = elapsed(this.#differsSince, now);
    if (waited < this.#proposalWait(wanted)) return undefined;
    const proposedAt = this.#proposedAt;
    const isPending = proposedAt !== undefined &&
      elapsed(proposedAt, now) < this.#timing.proposalTimeout;
    if (isPending) return undefined;
    this.#proposedAt = now;
    this.#proposals += 1;
    const id = `${this.#self.node}/${this.#self.incarnation}/view/${
      String(this.#proposals)
    }`;
    return { kind: "view", id, base: view.offset, members: wanted };
  }

  #proposalWait(wanted: readonly Member[]): number {
    const turn = this.#rank(wanted) * this.#timing.proposalStagger;
    const { members } = this.#register.view;
    const peers = heartbeatPeers(members, this.#self);
    const silent = peers.filter((peer) =>
      this.#detector.stateOf(peer) === "suspected"
    );
    const maybeIsolated = silent.length * 2 > peers.length;
    return maybeIsolated ? turn + this.#timing.isolationWait : turn;
  }

  #wantedMembers(): readonly Member[] {
    const { view } = this.#register;
    const wanted = new Map(
      view.members.filter((member) => this.#remains(member))
        .map((member) => [member.node, member]),
    );
    for (const member of this.#detector.joining) {
      const newest = this.#register.newestRun(member.node)?.generation ?? 0;
      if (member.generation > newest) wanted.set(member.node, member);
      const returns = member.generation === newest &&
        findMember(view, member.node) === undefined;
      if (returns) wanted.set(member.node, member);
    }
    if (!this.#leaving) wanted.set(this.#self.node, this.#self);
    return [...wanted.values()].sort((left, right) =>
      left.node < right.node ? -1 : 1
    );
  }

  #remains(member: Member): boolean {
    if (member.node === this.#self.node) return !this.#leaving;
    return this.#detector.stateOf(member) !== "suspected" &&
      this.#detector.stateOf(member) !== "leaving";
  }

  #rank(wanted: readonly Member[]): number {
    const { offset } = this.#register.view;
    const nodes = new Set(wanted.map((one) => one.node));
    nodes.add(this.#self.node);
    if (!this.isMember) {
      for (const one of this.#contacts) {
        nodes.add(one.node);
      }
    }
    const order = rendezvousOrder(`proposal/${offset}`, [...nodes]);
    return order.indexOf(this.#self.node);
  }
}

function sameMembers(
  left: readonly Member[],
  right: readonly Member[],
): boolean {
  if (left.length !== right.length) return false;
  return left.every((member) =>
    right.some((other) =>
      sameRun(member, other) && member.generation === other.generation
    )
  );
}
