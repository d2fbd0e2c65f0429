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
import { ClusterLogState, type LogEntry } from "./cluster_log_state.ts";
import type { ClusterRecord } from "./cluster_record.ts";
import type { ControlledEngine } from "./controller_candidates.ts";
import { OwnershipAgent } from "./ownership_agent.ts";
import type { PromiseRequest, PromiseResponse } from "./promise_message.ts";
import type { OwnershipRules } from "./rules.ts";
import type { Tenure } from "./tenure.ts";
import type { OwnershipTiming } from "./timing.ts";

/** Number of applied records after which a new snapshot is appended. */
const SNAPSHOT_INTERVAL_RECORDS = 200;
/** Maximum time between two snapshots. */
const SNAPSHOT_INTERVAL_MILLISECONDS = 60_000;

/** A message between nodes about membership or ownership. */
export type ClusterMessage = Heartbeat | PromiseRequest | PromiseResponse;

/** A message and its recipient. */
export interface OutgoingMessage {
  readonly to: Contact;
  readonly message: ClusterMessage;
}

/** The messages to send and the records to append. */
export interface ClusterActions {
  readonly messages: readonly OutgoingMessage[];
  /** Records, each to be appended separately. */
  readonly appends: readonly ClusterRecord[];
}

/** The result of one read of the log. */
export interface ClusterLogPage {
  readonly startedAt: Instant;
  readonly records: readonly LogEntry[];
  readonly tail: LogOffset;
  readonly firstKept: LogOffset;
}

/** Options of a {@link ClusterAgent}. */
export interface ClusterAgentOptions {
  readonly self: Member;
  readonly membershipTiming: MembershipTiming;
  readonly ownershipTiming: OwnershipTiming;
  readonly rules: OwnershipRules;
  readonly startedAt: Instant;
}

/**
 * Combines membership and ownership of one node: takes events, returns
 * messages to send and records to append.
 */
export class ClusterAgent {
  readonly #state: ClusterLogState;
  readonly #membership: MembershipAgent;
  readonly #ownership: OwnershipAgent;
  readonly #run: NodeRun;
  #tailConfirmedAt: Instant | undefined;
  #snapshotAt: Instant;
  #snapshotCount = 0;
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

  /** The next log offset to read. */
  get nextOffset(): LogOffset {
    return this.#state.nextOffset;
  }

  /** The current view. */
  get view(): View {
    return this.#state.view;
  }

  /** Whether the current view lists this run. */
  get isMember(): boolean {
    return this.#membership.isMember;
  }

  /** The members that are neither leaving nor suspected. */
  get live(): readonly Member[] {
    return this.#state.view.members.filter((member) =>
      this.#membership.isLive(member)
    );
  }

  /** The engines that this run controls or is about to control. */
  get controlled(): readonly EngineId[] {
    return this.#ownership.controlled;
  }

  /**
   * Finds an engine's tenure, based on the log as read so far.
   * @param engine The engine.
   * @returns The tenure, or undefined if no node has claimed the engine.
   */
  tenureOf(engine: EngineId): Tenure | undefined {
    return this.#state.tenures.tenureOf(engine);
  }

  /**
   * Sets the contacts from the platform's list of entry VMs, as a hint.
   * @param contacts The nodes.
   */
  setContacts(contacts: readonly Contact[]): void {
    this.#membership.setContacts(contacts);
  }

  /** Announces that this node is leaving, and hands over its engines. */
  leave(): void {
    this.#membership.leave();
  }

  /**
   * Handles a received message.
   * @param now The present time.
   * @param message The message.
   * @returns The replies to send.
   */
  receive(now: Instant, message: ClusterMessage): readonly OutgoingMessage[] {
    switch (message.kind) {
      case "heartbeat":
        this.#membership.receiveHeartbeat(now, message);
        return [];
      case "promise":
        this.#ownership.onPromiseResponse(now, message);
        return [];
      case "ask": {
        const response = this.#ownership.answerPromiseRequest(now, message);
        return this.#messagesTo(message.from.node, response);
      }
    }
  }

  /**
   * Applies records read from the log.
   * @param now The present time, at the end of the read.
   * @param page The records that were read.
   */
  onLogPage(now: Instant, page: ClusterLogPage): void {
    this.#state.skipTruncated(page.firstKept);
    for (const entry of page.records) {
      const wasComplete = this.#state.isComplete();
      const applied = this.#state.apply(entry);
      for (const { record } of applied) {
        if (record?.kind === "snapshot") this.#snapshotAt = now;
      }
      if (!wasComplete && this.#state.isComplete()) {
        this.#ownership.onStateRestored(now);
      }
      this.#ownership.onRecordsApplied(now, applied);
    }
    const isTail = this.#state.isComplete() &&
      this.#state.nextOffset >= page.tail;
    if (!isTail) return;
    this.#ownership.confirmTail({ startedAt: page.startedAt, endedAt: now });
    this.#tailConfirmedAt = page.startedAt;
  }

  /**
   * Handles the confirmation that a record was not appended.
   * @param id The record's id.
   */
  appendRejected(id: string): void {
    this.#ownership.appendRejected(id);
  }

  /**
   * Runs the periodic work that is due.
   * @param now The present time.
   * @param engines The engines listed by the platform.
   * @returns The messages to send and the records to append.
   */
  tick(now: Instant, engines: readonly ControlledEngine[]): ClusterActions {
    const logIsRead = this.#tailConfirmedAt !== undefined &&
      elapsed(this.#tailConfirmedAt, now) < this.#lease;
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
    for (const { to, request } of ownership.promiseRequests) {
      messages.push(...this.#messagesTo(to, request));
    }
    return { messages, appends };
  }

  /**
   * Checks whether a destructive order may be sent now.
   * @param engine The engine.
   * @param now The present time.
   * @returns The order's fencing number, or why no order may be sent.
   */
  authorizeOrder(
    engine: EngineId,
    now: Instant,
  ): Result<FencingNumber, Failure> {
    return this.#ownership.authorizeOrder(engine, now);
  }

  /**
   * Checks whether this run controls an engine and the takeover wait is over.
   * @param engine The engine.
   * @param now The present time.
   * @returns Whether this run's tenure is active.
   */
  isActive(engine: EngineId, now: Instant): boolean {
    return this.#ownership.isActive(engine, now);
  }

  #messagesTo(
    node: NodeRun["node"],
    message: ClusterMessage,
  ): readonly OutgoingMessage[] {
    const address = this.#state.views.newestRun(node)?.address;
    return address === undefined ? [] : [{ to: { node, address }, message }];
  }

  #isSnapshotDue(now: Instant): boolean {
    const recordCount = this.#state.recordsSinceSnapshot;
    if (!listsRun(this.view, this.#run)) return false;
    const isLate =
      elapsed(this.#snapshotAt, now) >= SNAPSHOT_INTERVAL_MILLISECONDS;
    if (recordCount < SNAPSHOT_INTERVAL_RECORDS && !isLate) return false;
    const nodes = this.live.map((one) => one.node);
    const isResponsible =
      rendezvousChoice("snapshot", nodes) === this.#run.node;
    if (isResponsible) this.#snapshotAt = now;
    return isResponsible;
  }

  #snapshot(): ClusterRecord {
    this.#snapshotCount += 1;
    const { node, incarnation } = this.#run;
    return this.#state.snapshot(
      `${node}/${incarnation}/snapshot/${String(this.#snapshotCount)}`,
    );
  }
}
