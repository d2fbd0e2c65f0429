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

/** How many contacts a joining node sends heartbeats to. */
const MAXIMUM_CONTACTS = 3;

/** A node from the platform's list, which may be out of date. */
export interface Contact {
  readonly node: NodeId;
  readonly address: string;
}

/** A heartbeat to be sent. */
export interface OutgoingHeartbeat {
  readonly to: Contact;
  readonly heartbeat: Heartbeat;
}

/** The actions that a tick requests. */
export interface MembershipActions {
  readonly heartbeats: readonly OutgoingHeartbeat[];
  /** The view to propose now, if it is this node's turn. */
  readonly proposal?: ViewRecord;
}

/** The initial parameters of a membership agent. */
export interface MembershipAgentOptions {
  /** This run; its generation is assigned once the log has been read. */
  readonly self: Member;
  readonly timing: MembershipTiming;
  readonly startedAt: Instant;
  readonly register: ViewRegister;
}

/** One node's part in the membership protocol. */
export class MembershipAgent {
  readonly #timing: MembershipTiming;
  readonly #register: ViewRegister;
  readonly #detector: FailureDetector;
  #self: Member;
  #contacts: readonly Contact[] = [];
  #leaving = false;
  #lastHeartbeatAt: Instant | undefined;
  #viewDiffersSince: Instant | undefined;
  #differingViewOffset: LogOffset | undefined;
  #proposedAt: Instant | undefined;
  #proposalCount = 0;

  constructor(options: MembershipAgentOptions) {
    this.#timing = options.timing;
    this.#register = options.register;
    this.#self = options.self;
    this.#detector = new FailureDetector(options.timing, options.startedAt);
  }

  /** This run, with the generation that it joins with. */
  get self(): Member {
    return this.#self;
  }

  /** Whether the view in force lists this run. */
  get isMember(): boolean {
    return listsRun(this.#register.view, this.#self);
  }

  /** Whether this node announces that it leaves. */
  get isLeaving(): boolean {
    return this.#leaving;
  }

  /**
   * Sets the nodes to contact when joining: the entry VMs of the platform's
   * list, which serves as a hint only.
   * @param contacts The nodes.
   */
  setContacts(contacts: readonly Contact[]): void {
    this.#contacts = contacts.filter((contact) =>
      contact.node !== this.#self.node
    );
  }

  /** Announces from now on that this node leaves. */
  leave(): void {
    this.#leaving = true;
    this.#lastHeartbeatAt = undefined;
  }

  /**
   * Processes a received heartbeat.
   * @param now The current time.
   * @param heartbeat The heartbeat.
   */
  receiveHeartbeat(now: Instant, heartbeat: Heartbeat): void {
    this.#detector.receiveHeartbeat(now, heartbeat);
    const isKnown = listsRun(this.#register.view, heartbeat.from);
    if (!isKnown && !heartbeat.leaving && heartbeat.from.generation > 0) {
      this.#detector.recordJoinRequest(now, heartbeat.from);
    }
  }

  /**
   * Checks whether a member accepts work, as far as this node knows.
   * @param member The member.
   * @returns Whether it is neither suspected nor leaving.
   */
  isLive(member: Member): boolean {
    if (member.node === this.#self.node) return !this.#leaving;
    const state = this.#detector.stateOf(member);
    return state !== "suspected" && state !== "leaving";
  }

  /**
   * Emits due heartbeats and proposes a view when it is this node's turn.
   * @param now The current time.
   * @param options Whether the log has been read to its tail, which is required
   * to propose a view.
   * @returns The actions to execute.
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
    const isOwnRun = newest !== undefined && sameRun(newest, this.#self);
    if (isOwnRun) return;
    const generation = (newest?.generation ?? 0) + 1;
    this.#self = { ...this.#self, generation };
  }

  #heartbeats(
    now: Instant,
    peers: readonly Member[],
  ): readonly OutgoingHeartbeat[] {
    const lastSentAt = this.#lastHeartbeatAt;
    const interval = this.#timing.heartbeatInterval;
    if (lastSentAt !== undefined && elapsed(lastSentAt, now) < interval) {
      return [];
    }
    this.#lastHeartbeatAt = now;
    const heartbeat: Heartbeat = {
      kind: "heartbeat",
      from: this.#self,
      leaving: this.#leaving,
      view: this.#register.view.offset,
      digest: this.#detector.digest(now),
    };
    const isSettled = this.isMember && !this.#leaving;
    const contacted = isSettled
      ? []
      : this.#contacts.slice(0, MAXIMUM_CONTACTS);
    const targets = new Map<NodeId, Contact>();
    for (const { node, address } of [...contacted, ...peers]) {
      targets.set(node, { node, address });
    }
    return [...targets.values()].map((to) => ({ to, heartbeat }));
  }

  #proposal(now: Instant): ViewRecord | undefined {
    const { view } = this.#register;
    const wantedMembers = this.#wantedMembers();
    if (sameMembers(view.members, wantedMembers)) {
      this.#viewDiffersSince = undefined;
      return undefined;
    }
    if (this.#differingViewOffset !== view.offset) {
      this.#differingViewOffset = view.offset;
      this.#viewDiffersSince = undefined;
      this.#proposedAt = undefined;
    }
    this.#viewDiffersSince ??= now;
    const waited = elapsed(this.#viewDiffersSince, now);
    if (waited < this.#proposalWait(wantedMembers)) return undefined;
    const proposedAt = this.#proposedAt;
    const isPending = proposedAt !== undefined &&
      elapsed(proposedAt, now) < this.#timing.proposalTimeout;
    if (isPending) return undefined;
    this.#proposedAt = now;
    this.#proposalCount += 1;
    const id = `${this.#self.node}/${this.#self.incarnation}/view/${
      String(this.#proposalCount)
    }`;
    return { kind: "view", id, base: view.offset, members: wantedMembers };
  }

  #proposalWait(wantedMembers: readonly Member[]): number {
    const staggerDelay = this.#proposerRank(wantedMembers) *
      this.#timing.proposalStagger;
    const { members } = this.#register.view;
    const peers = heartbeatPeers(members, this.#self);
    const suspectedPeers = peers.filter((peer) =>
      this.#detector.stateOf(peer) === "suspected"
    );
    const mayBeIsolated = suspectedPeers.length * 2 > peers.length;
    return mayBeIsolated
      ? staggerDelay + this.#timing.isolationWait
      : staggerDelay;
  }

  #wantedMembers(): readonly Member[] {
    const { view } = this.#register;
    const wantedMembers = new Map(
      view.members.filter((member) => this.#shouldRemain(member))
        .map((member) => [member.node, member]),
    );
    for (const member of this.#detector.joining) {
      const newest = this.#register.newestRun(member.node)?.generation ?? 0;
      if (member.generation > newest) wantedMembers.set(member.node, member);
      const isRejoining = member.generation === newest &&
        findMember(view, member.node) === undefined;
      if (isRejoining) wantedMembers.set(member.node, member);
    }
    if (!this.#leaving) wantedMembers.set(this.#self.node, this.#self);
    return [...wantedMembers.values()].sort((left, right) =>
      left.node < right.node ? -1 : 1
    );
  }

  #shouldRemain(member: Member): boolean {
    if (member.node === this.#self.node) return !this.#leaving;
    return this.#detector.stateOf(member) !== "suspected" &&
      this.#detector.stateOf(member) !== "leaving";
  }

  #proposerRank(wantedMembers: readonly Member[]): number {
    const { offset } = this.#register.view;
    const nodes = new Set(wantedMembers.map((member) => member.node));
    nodes.add(this.#self.node);
    if (!this.isMember) {
      for (const contact of this.#contacts) {
        nodes.add(contact.node);
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
