import {
  ClaimBatcher,
  type DeliveryRules,
  incarnationId,
  type Instant,
  instant,
  type KeyAction,
  type KeyClaim,
  KeyCoordinator,
  type KeyedCall,
  type KeyScope,
  later,
  milliseconds,
  type NodeId,
  parseClaimRecord,
  type RunResult,
} from "@foxtailwind/core";
import type { KeyWorldLog } from "./key_world_log.ts";
import type { OutcomeTimeline } from "./outcome_timeline.ts";

/** How long keys are remembered in a run, in milliseconds. */
export const KEY_WINDOW = 800;

/** How long a scope is given out for, in milliseconds. */
export const SCOPE_LIFETIME = 300;

const READ_MILLISECONDS = 8;

/** What a node reaches. */
export interface KeyWorldSurroundings {
  readonly timeline: OutcomeTimeline;
  readonly log: KeyWorldLog;
  readonly rules: DeliveryRules;
  /** Runs a request at the service. */
  readonly run: (node: KeyWorldNode, ticket: number) => void;
  readonly forward: (
    node: KeyWorldNode,
    action: Extract<KeyAction, { readonly kind: "forward" }>,
  ) => void;
  readonly answer: (
    node: KeyWorldNode,
    ticket: number,
    result: RunResult,
  ) => void;
}

/** One incarnation of a node: it ends for good when the node is killed. */
export class KeyWorldNode {
  readonly id: NodeId;
  readonly incarnation;
  readonly #surroundings: KeyWorldSurroundings;
  readonly #clockOffset: number;
  readonly #coordinator: KeyCoordinator;
  readonly #gathering: ClaimBatcher;
  #nonces = 0;
  isAlive = true;

  /**
   * @param id The node.
   * @param run Counts its incarnations.
   * @param surroundings What it reaches.
   */
  constructor(id: NodeId, run: number, surroundings: KeyWorldSurroundings) {
    const { rules, timeline } = surroundings;
    this.id = id;
    this.incarnation = incarnationId(`${id}-run-${run}`);
    this.#surroundings = surroundings;
    this.#clockOffset = timeline.random.next() * 100_000;
    this.#coordinator = new KeyCoordinator({
      self: id,
      incarnation: this.incarnation,
      rules,
      limits: {
        maximumKeys: 1_000,
        maximumAnswerBytes: 200,
        retention: milliseconds(KEY_WINDOW + 100),
      },
      timing: { maximumScopeLifetime: milliseconds(SCOPE_LIFETIME) },
      nextNonce: () => this.#nextName("claim"),
    });
    this.#gathering = new ClaimBatcher({
      batchInterval: milliseconds(10),
      settleTimeout: milliseconds(120),
      maximumBatch: 10,
      maximumKeys: 1_000,
      window: milliseconds(KEY_WINDOW),
      rules,
      recordId: () => this.#nextName("record"),
    });
    this.#read();
  }

  /** This node's own steady clock. */
  get now(): Instant {
    return instant(this.#surroundings.timeline.now + this.#clockOffset);
  }

  /** The scope that this node gives out now. */
  get scope(): KeyScope {
    const expiresAt = later(this.now, milliseconds(SCOPE_LIFETIME));
    return { node: this.id, incarnation: this.incarnation, expiresAt };
  }

  /** The epoch that this node gives out now. */
  get epoch() {
    return this.#gathering.index.nextOffset;
  }

  /**
   * Takes a request.
   * @param call The request.
   */
  request(call: KeyedCall): void {
    this.#carryOut(this.#coordinator.request(this.now, call));
  }

  /**
   * Learns how a run ended.
   * @param call The request that ran.
   * @param result The outcome.
   */
  runEnded(call: KeyedCall, result: RunResult): void {
    if (!this.isAlive) return;
    const { key } = call.key;
    this.#carryOut(this.#coordinator.runEnded(this.now, key, result));
  }

  /**
   * Learns how a forwarded request ended.
   * @param ticket The request.
   * @param result The outcome.
   */
  forwardEnded(ticket: number, result: RunResult): void {
    if (!this.isAlive) return;
    this.#carryOut(this.#coordinator.forwardEnded(this.now, ticket, result));
  }

  /**
   * Takes a claim of a node of the same failure domain.
   * @param claim The claim.
   */
  gather(claim: KeyClaim): void {
    this.#gathering.submit(this.now, claim);
    this.#turn();
  }

  #carryOut(actions: readonly KeyAction[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case "claim":
          this.gather(action.claim);
          break;
        case "run":
          this.#surroundings.run(this, action.ticket);
          break;
        case "forward":
          this.#surroundings.forward(this, action);
          break;
        case "answer":
          this.#surroundings.answer(this, action.ticket, action.result);
          break;
      }
    }
  }

  #read(): void {
    const { timeline, log } = this.#surroundings;
    if (!this.isAlive) return;
    const page = log.read(this.#gathering.index.nextOffset);
    if (page !== undefined) {
      this.#gathering.index.noteFirstKept(page.firstKept);
      for (const { offset, data } of page.records) {
        const record = parseClaimRecord(data).unwrapOr(undefined);
        this.#gathering.apply(this.now, offset, record);
      }
    }
    this.#turn();
    timeline.after(READ_MILLISECONDS * (0.5 + timeline.random.next()), () => {
      this.#read();
    });
  }

  #turn(): void {
    const batch = this.#gathering.takeBatch(this.now);
    if (batch !== undefined) {
      this.#surroundings.log.append(batch, (end) => {
        if (!this.isAlive) return;
        this.#gathering.appendEnded(
          batch.id,
          end === "appended" ? undefined : {
            reason: "unavailable",
            step: "append_log",
            peer: "log",
            message: "The append failed.",
            outcome: end,
          },
        );
        this.#turn();
      });
    }
    for (const { nonce, verdict } of this.#gathering.takeSettled(this.now)) {
      this.#carryOut(
        this.#coordinator.claimSettled(this.now, nonce, verdict),
      );
    }
  }

  #nextName(kind: string): string {
    this.#nonces += 1;
    return `${this.incarnation}/${kind}-${this.#nonces}`;
  }
}
