import {
  ClusterAgent,
  type ClusterMessage,
  type ControlledEngine,
  DEFAULT_MEMBERSHIP_TIMING,
  type EngineId,
  type FencingNumber,
  formatClusterRecord,
  incarnationId,
  type Instant,
  instant,
  type Member,
  type OutgoingMessage,
  type OwnershipRules,
  type OwnershipTiming,
} from "@foxtailwind/core";
import type { LogPage } from "@foxtailwind/edges";
import type { Timeline } from "./timeline.ts";
import type { AppendOutcome, VirtualLog } from "./virtual_log.ts";

const TICK_MILLISECONDS = 50;
const READ_MILLISECONDS = 60;
const REPEAT_MILLISECONDS = 400;

/** What a node is surrounded by. */
export interface VirtualSurroundings {
  readonly timeline: Timeline;
  readonly log: VirtualLog;
  readonly engines: readonly ControlledEngine[];
  readonly rules: OwnershipRules;
  readonly timing: OwnershipTiming;
  readonly contacts: readonly Member[];
  readonly send: (from: Member, outgoing: OutgoingMessage) => void;
  readonly reachesLog: (node: Member) => boolean;
  /** How much later a node's appends reach the log, in milliseconds. */
  readonly appendDelay: (node: Member) => number;
  /** Decides whether a page that was read arrives a second time. */
  readonly repeatsPages: () => boolean;
  /** Called with each right that the node finds itself to have. */
  readonly order: (
    node: VirtualNode,
    right: { readonly engine: EngineId; readonly fencing: FencingNumber },
  ) => void;
}

/** A node whose process can be paused, killed and started again. */
export class VirtualNode {
  readonly #surroundings: VirtualSurroundings;
  readonly #clock: { readonly offset: number; readonly rate: number };
  readonly #inbox: (() => void)[] = [];
  #self: Member;
  #agent: ClusterAgent;
  #runs = 1;
  #isPaused = false;
  #isAlive = true;
  #lastOffset = 0;

  constructor(
    self: Member,
    options: {
      readonly surroundings: VirtualSurroundings;
      readonly clock: { readonly offset: number; readonly rate: number };
    },
  ) {
    this.#self = self;
    this.#surroundings = options.surroundings;
    this.#clock = options.clock;
    this.#agent = this.#start();
  }

  /** This run. */
  get self(): Member {
    return this.#self;
  }

  /** Whether a process runs, paused or not. */
  get isAlive(): boolean {
    return this.#isAlive;
  }

  /** The decisions of this run. */
  get agent(): ClusterAgent {
    return this.#agent;
  }

  /** Reads this VM's clock. */
  now(): Instant {
    const { offset, rate } = this.#clock;
    return instant(offset + this.#surroundings.timeline.now * rate);
  }

  /** Stops the process for a while. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Lets the process go on; what arrived meanwhile is handled first. */
  resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    for (const event of this.#inbox.splice(0)) event();
  }

  /** Ends the process; its memory is lost. */
  kill(): void {
    this.#isAlive = false;
    this.#isPaused = false;
    this.#inbox.length = 0;
  }

  /** Starts a new process where none runs. */
  restart(): void {
    if (this.#isAlive) return;
    this.#runs += 1;
    this.#isAlive = true;
    const incarnation = incarnationId(`run-${String(this.#runs)}`);
    this.#self = { ...this.#self, incarnation };
    this.#agent = this.#start();
  }

  /**
   * Receives a message.
   * @param message The message.
   */
  receive(message: ClusterMessage): void {
    if (!this.#isAlive) return;
    this.#whenRunning(() => {
      for (const answer of this.#agent.receive(this.now(), message)) {
        this.#surroundings.send(this.#self, answer);
      }
    });
  }

  #start(): ClusterAgent {
    const { rules, timing, contacts } = this.#surroundings;
    const agent = new ClusterAgent({
      self: this.#self,
      membershipTiming: DEFAULT_MEMBERSHIP_TIMING,
      ownershipTiming: timing,
      rules,
      startedAt: this.now(),
    });
    agent.setContacts(contacts);
    this.#lastOffset = 0;
    this.#agent = agent;
    this.#every(TICK_MILLISECONDS, () => {
      this.#tick();
    });
    this.#read();
    return agent;
  }

  #every(interval: number, action: () => void): void {
    const { incarnation } = this.#self;
    const { timeline } = this.#surroundings;
    const again = (): void => {
      if (!this.#isRun(incarnation)) return;
      if (!this.#isPaused) action();
      timeline.after(interval, again);
    };
    timeline.after(interval, again);
  }

  #tick(): void {
    const { engines, log, send, reachesLog, order } = this.#surroundings;
    const agent = this.#agent;
    const actions = agent.tick(this.now(), engines);
    for (const message of actions.messages) send(this.#self, message);
    for (const record of actions.appends) {
      const { incarnation } = this.#self;
      const answered = (outcome: AppendOutcome): void => {
        if (!this.#isRun(incarnation) || outcome !== "not_run") return;
        this.#whenRunning(() => {
          agent.appendRejected(record.id);
        });
      };
      if (reachesLog(this.#self)) {
        const delay = this.#surroundings.appendDelay(this.#self);
        log.append(formatClusterRecord(record), { delay, answered });
      }
    }
    for (const { engine } of engines) {
      const right = agent.authorizeOrder(engine, this.now());
      if (right.isOk()) order(this, { engine, fencing: right.value });
    }
  }

  #read(): void {
    const { timeline, log, reachesLog, repeatsPages } = this.#surroundings;
    const { incarnation } = this.#self;
    const startedAt = this.now();
    const next = (): void => {
      timeline.after(READ_MILLISECONDS, () => {
        if (!this.#isRun(incarnation)) return;
        this.#whenRunning(() => {
          this.#read();
        });
      });
    };
    if (!reachesLog(this.#self)) {
      next();
      return;
    }
    log.read(this.#agent.nextOffset, (page) => {
      if (!this.#isRun(incarnation)) return;
      this.#whenRunning(() => {
        if (page !== undefined) this.#apply(page, startedAt);
        next();
      });
      if (page === undefined || !repeatsPages()) return;
      timeline.after(REPEAT_MILLISECONDS, () => {
        if (!this.#isRun(incarnation)) return;
        this.#whenRunning(() => {
          this.#apply(page, startedAt);
        });
      });
    });
  }

  #apply(page: LogPage, startedAt: Instant): void {
    this.#agent.onLogPage(this.now(), { startedAt, ...page });
    const offset = this.#agent.nextOffset;
    if (offset < this.#lastOffset) {
      throw new Error(`Offset ${offset} comes after ${this.#lastOffset}`);
    }
    this.#lastOffset = offset;
  }

  #isRun(incarnation: Member["incarnation"]): boolean {
    return this.#isAlive && this.#self.incarnation === incarnation;
  }

  #whenRunning(event: () => void): void {
    if (this.#isPaused) this.#inbox.push(event);
    else event();
  }
}
