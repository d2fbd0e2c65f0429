import {
  type Contact,
  type Heartbeat,
  listsRun,
  type Member,
  MembershipAgent,
  type MembershipTiming,
  type NodeRun,
  type View,
} from "../membership/mod.ts";
import {
  elapsed,
  type EngineId,
  type Failure,
  type FencingNumber,
  type Instant,
  type LogOffset,
  rendezvousChoice,
} from "../shared/mod.ts";
import type { Result } from "neverthrow";
import { ClusterLogState, type OffsetText } from "./cluster_log_state.ts";
import type { ClusterRecord } from "./cluster_record.ts";
import type { ControlledEngine } from "./designation.ts";
import { OwnershipAgent } from "./ownership_agent.ts";
import type { PromiseAnswer, PromiseAsk } from "./promise_message.ts";
import type { OwnershipRules } from "./rules.ts";
import type { Tenure } from "./tenure.ts";
import type { OwnershipTiming } from "./timing.ts";

/** How many records are applied before the state is appended again. */
const SNAPSHOT_RECORDS = 200;
/** How long the last snapshot may be followed by records at most. */
const SNAPSHOT_MILLISECONDS = 60_000;

/** What one node tells another about membership and ownership. */
export type ClusterMessage = Heartbeat | PromiseAsk | PromiseAnswer;

/** A message and where it goes. */
export interface OutgoingMessage {
  readonly to: Contact;
  readonly message: ClusterMessage;
}

/** What is to be done. */
export interface ClusterActions {
  readonly messages: readonly OutgoingMessage[];
  /** Records, each to be appended on its own. */
  readonly appends: readonly ClusterRecord[];
}

/** A piece of the log that was read. */
export interface ClusterLogPage {
  readonly startedAt: Instant;
  readonly records: readonly OffsetText[];
  readonly tail: LogOffset;
  readonly firstKept: LogOffset;
}

/** What a cluster agent starts with. */
export interface ClusterAgentOptions {
  readonly self: Member;
  readonly membershipTiming: MembershipTiming;
  readonly ownershipTiming: OwnershipTiming;
  readonly rules: OwnershipRules;
  readonly startedAt: Instant;
}

/** One node's membership and ownership: events in, messages and records out. */
export class ClusterAgent {
  readonly #state: ClusterLogState;
  readonly #membership: MembershipAgent;
  readonly #ownership: OwnershipAgent;
  readonly #run: NodeRun;
  #confirmedAt: Instant | undefined;
  #snapshotAt: Instant;
  #snapshots = 0;
  readonly #lease: number;

  constructor(options: ClusterAgentOptions) {
    const { self, rules, startedAt } = options;
    this.#run = self;
    this.#lease = options.ownershipTiming.lease;
    this.#snapshotAt = startedAt;
    this.#state = new ClusterLogState(rules);
    this.#membership = new MembershipAgent({
      self,
      timing: options.membershipTiming,
      startedAt,
      register: this.#state.views,
    });
    this.#ownership = new OwnershipAgent({
      self,
      timing: options.ownershipTiming,
      rules,
      startedAt,
      state: this.#state,
    });
  }

  /** The first offset that is to be read. */
  get nextOffset(): LogOffset {
    return this.#state.next;
  }

  /** The view in force. */
  get view(): View {
    return this.#state.view;
  }

  /** Whether the view in force lists this run. */
  get isMember(): boolean {
    return this.#membership.isMember;
  }

  /** The members that neither leave nor are suspected. */
  get live(): readonly Member[] {
    return this.#state.view.members.filter((member) =>
      this.#membership.isLive(member)
    );
  }

  /** The engines that this run controls, or is about to. */
  get controlled(): readonly EngineId[] {
    return this.#ownership.controlled;
  }

  /**
   * Finds who controls an engine, as far as the log was read.
   * @param engine The engine.
   * @returns The tenure, or nothing where nobody has claimed the engine.
   */
  tenureOf(engine: EngineId): Tenure | undefined {
    return this.#state.tenures.tenureOf(engine);
  }

  /**
   * Takes the platform's list of entry VMs as a hint.
   * @param contacts The nodes.
   */
  setContacts(contacts: readonly Contact[]): void {
    this.#membership.setContacts(contacts);
  }

  /** Says from now on that this node leaves, and hands its engines over. */
  leave(): void {
    this.#membership.leave();
  }

  /**
   * Takes in a message.
   * @param now The present time.
   * @param message The message.
   * @returns The answers.
   */
  receive(now: Instant, message: ClusterMessage): readonly OutgoingMessage[] {
    switch (message.kind) {
      case "heartbeat":
        this.#membership.heard(now, message);
        return [];
      case "promise":
        this.#ownership.promised(now, message);
        return [];
      case "ask": {
        const answer = this.#ownership.answer(now, message);
        return this.#address(message.from.node, answer);
      }
    }
  }

  /**
   * Applies what was read from the log.
   * @param now The present time, at the end of the read.
   * @param page What was read.
   */
  onLogPage(now: Instant, page: ClusterLogPage): void {
    this.#state.skipLost(page.firstKept);
    for (const text of page.records) {
      const wasComplete = this.#state.isComplete();
      const applied = this.#state.apply(text);
      for (const { record } of applied) {
        if (record?.kind === "snapshot") this.#snapshotAt = now;
      }
      if (!wasComplete && this.#state.isComplete()) {
        this.#ownership.followAll(now);
      }
      this.#ownership.follow(now, applied);
    }
    const isTail = this.#state.isComplete() && this.#state.next >= page.tail;
    if (!isTail) return;
    this.#ownership.confirmTail({ startedAt: page.startedAt, endedAt: now });
    this.#confirmedAt = page.startedAt;
  }

  /**
   * Notes that the log refused a record for certain.
   * @param id The record's id.
   */
  notAppended(id: string): void {
    this.#ownership.notAppended(id);
  }

  /**
   * Does what is due.
   * @param now The present time.
   * @param engines The engines that the platform lists.
   * @returns What is to be sent and appended.
   */
  tick(now: Instant, engines: readonly ControlledEngine[]): ClusterActions {
    const logIsRead = this.#confirmedAt !== undefined &&
      elapsed(this.#confirmedAt, now) < this.#lease;
    const membership = this.#membership.tick(now, { logIsRead });
    const ownership = this.#ownership.tick(now, {
      engines,
      live: this.live,
      isLeaving: this.#membership.isLeaving,
    });
    const appends: ClusterRecord[] = [...ownership.records];
    if (membership.proposal !== undefined) appends.push(membership.proposal);
    if (logIsRead && this.#isSnapshotDue(now)) appends.push(this.#snapshot());
    const messages: OutgoingMessage[] = membership.heartbeats.map((one) => ({
      to: one.to,
      message: one.heartbeat,
    }));
    for (const { to, ask } of ownership.asks) {
      messages.push(...this.#address(to, ask));
    }
    return { messages, appends };
  }

  /**
   * Decides whether a destructive order may be given now.
   * @param engine The engine.
   * @param now The present time.
   * @returns The order's fencing number, or why none may be given.
   */
  current(engine: EngineId, now: Instant): Result<FencingNumber, Failure> {
    return this.#ownership.current(engine, now);
  }

  /**
   * Tells whether this run controls an engine and the waits are over.
   * @param engine The engine.
   * @param now The present time.
   * @returns Whether it does.
   */
  isActive(engine: EngineId, now: Instant): boolean {
    return this.#ownership.isActive(engine, now);
  }

  #address(
    node: NodeRun["node"],
    message: ClusterMessage,
  ): readonly OutgoingMessage[] {
    const address = this.#state.views.newestRun(node)?.address;
    return address === undefined ? [] : [{ to: { node, address }, message }];
  }

  #isSnapshotDue(now: Instant): boolean {
    const records = this.#state.recordsSinceSnapshot;
    if (!listsRun(this.view, this.#run)) return false;
    const isLate = elapsed(this.#snapshotAt, now) >= SNAPSHOT_MILLISECONDS;
    if (records < SNAPSHOT_RECORDS && !isLate) return false;
    const nodes = this.live.map((one) => one.node);
    const isTurn = rendezvousChoice("snapshot", nodes) === this.#run.node;
    if (isTurn) this.#snapshotAt = now;
    return isTurn;
  }

  #snapshot(): ClusterRecord {
    this.#snapshots += 1;
    const { node, incarnation } = this.#run;
    return this.#state.snapshot(
      `${node}/${incarnation}/snapshot/${String(this.#snapshots)}`,
    );
  }
}
