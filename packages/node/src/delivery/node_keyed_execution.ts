import {
  type DeliveryRules,
  type Failure,
  type IdempotencyKey,
  type IncarnationId,
  incarnationId,
  type KeyAction,
  type KeyClaim,
  KeyCoordinator,
  type KeyedCall,
  later,
  milliseconds,
  type NodeId,
  parseExecutionKey,
  scopePrefix,
} from "@foxtailwind/core";
import type { KeyedRun } from "@foxtailwind/protocol";
import { err } from "neverthrow";
import { createHash, randomUUID } from "node:crypto";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ClaimRoute } from "./claim_route.ts";
import { KEY_LIMITS, KEY_TIMING, SCOPE_RETRY_TIME } from "./key_limits.ts";
import {
  KeyedExecution,
  type KeyedRequest,
  type KeyedResult,
  type KeyedWork,
} from "./keyed_execution.ts";
import type { OutcomePeers } from "./outcome_peers.ts";

/** What keyed execution works with. */
export interface KeyedExecutionParts {
  readonly self: NodeId;
  readonly incarnation: IncarnationId;
  readonly clock: SteadyClock;
  readonly peers: Pick<OutcomePeers, "run">;
  readonly claims: Pick<ClaimRoute, "claim">;
  readonly rules: DeliveryRules;
}

interface TakenRequest {
  readonly work: string;
  readonly key: string;
  readonly payload: Uint8Array;
  readonly digest: string;
}

interface Waiting {
  readonly request: TakenRequest;
  readonly resolve: (result: KeyedResult) => void;
}

/** Carries out what the coordinator of this incarnation's keys decides. */
export class NodeKeyedExecution extends KeyedExecution {
  readonly #parts: KeyedExecutionParts;
  readonly #coordinator: KeyCoordinator;
  readonly #works = new Map<string, KeyedWork>();
  readonly #waiting = new Map<number, Waiting>();
  #lastTicket = 0;

  /** @param parts What it works with. */
  constructor(parts: KeyedExecutionParts) {
    super();
    this.#parts = parts;
    this.#coordinator = new KeyCoordinator({
      self: parts.self,
      incarnation: parts.incarnation,
      rules: parts.rules,
      limits: KEY_LIMITS,
      timing: KEY_TIMING,
      nextNonce: () => randomUUID(),
    });
  }

  override register(name: string, work: KeyedWork): void {
    this.#works.set(name, work);
  }

  override scopeText(lifetimeMilliseconds: number): string {
    const { self, incarnation, clock } = this.#parts;
    const lifetime = milliseconds(lifetimeMilliseconds + SCOPE_RETRY_TIME);
    const expiresAt = later(clock.now(), lifetime);
    return scopePrefix({ node: self, incarnation, expiresAt });
  }

  override execute(request: KeyedRequest): Promise<KeyedResult> {
    return this.#take({ ...request, digest: digestOf(request) });
  }

  /**
   * Runs a request that a peer forwarded.
   * @param run The request.
   * @returns The outcome.
   */
  runForPeer(run: KeyedRun): Promise<KeyedResult> {
    const { nonce } = run;
    const incarnation = incarnationId(run.incarnation);
    return this.#take(run, { incarnation, nonce });
  }

  #take(
    request: TakenRequest,
    forPeer?: KeyedCall["forPeer"],
  ): Promise<KeyedResult> {
    const key = parseExecutionKey(request.key);
    if (key.isErr()) return Promise.resolve(err(key.error));
    return new Promise((resolve) => {
      this.#lastTicket += 1;
      const ticket = this.#lastTicket;
      this.#waiting.set(ticket, { request, resolve });
      const { digest } = request;
      const now = this.#parts.clock.now();
      this.#carryOut(
        this.#coordinator.request(now, {
          ticket,
          key: key.value,
          digest,
          ...(forPeer !== undefined && { forPeer }),
        }),
      );
    });
  }

  #carryOut(actions: readonly KeyAction[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case "claim":
          void this.#claim(action.claim);
          break;
        case "run":
          void this.#run(action.ticket, action.key);
          break;
        case "forward":
          void this.#forward(action);
          break;
        case "answer":
          this.#answer(action.ticket, action.result);
          break;
      }
    }
  }

  async #claim(claim: KeyClaim): Promise<void> {
    const verdict = await this.#parts.claims.claim(claim);
    const now = this.#parts.clock.now();
    const { nonce } = claim;
    this.#carryOut(this.#coordinator.claimSettled(now, nonce, verdict));
  }

  async #run(ticket: number, key: IdempotencyKey): Promise<void> {
    const request = this.#waiting.get(ticket)?.request;
    const result = request === undefined
      ? err(unknownWork("a request that is gone"))
      : await this.#work(request);
    const now = this.#parts.clock.now();
    this.#carryOut(this.#coordinator.runEnded(now, key, result));
  }

  #work(request: TakenRequest): Promise<KeyedResult> {
    const work = this.#works.get(request.work);
    if (work === undefined) {
      return Promise.resolve(err(unknownWork(request.work)));
    }
    return work(request.payload, request.key);
  }

  async #forward(
    action: Extract<KeyAction, { readonly kind: "forward" }>,
  ): Promise<void> {
    const { ticket, node, incarnation, nonce } = action;
    const request = this.#waiting.get(ticket)?.request;
    if (request === undefined) return;
    const { work, key, payload, digest } = request;
    const result = await this.#parts.peers.run(node, {
      work,
      key,
      payload: Buffer.from(payload),
      incarnation,
      nonce,
      digest,
    });
    const now = this.#parts.clock.now();
    this.#carryOut(this.#coordinator.forwardEnded(now, ticket, result));
  }

  #answer(ticket: number, result: KeyedResult): void {
    const waiting = this.#waiting.get(ticket);
    this.#waiting.delete(ticket);
    waiting?.resolve(result);
  }
}

function digestOf(request: KeyedRequest): string {
  return createHash("sha256")
    .update(`${request.work}\n`)
    .update(request.identity ?? request.payload)
    .digest("base64url");
}

function unknownWork(work: string): Failure {
  return {
    reason: "not_found",
    step: "claim_key",
    peer: "self",
    message: `No work is called "${work}" here.`,
    outcome: "not_run",
  };
}
