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
import type { ClaimRouter } from "./claim_router.ts";
import {
  KEY_LEDGER_LIMITS,
  KEY_SCOPE_LIMITS,
  SCOPED_KEY_RETRY_WINDOW,
} from "./key_limits.ts";
import {
  KeyedExecution,
  type KeyedRequest,
  type KeyedRequestHandler,
  type KeyedResult,
} from "./keyed_execution.ts";
import type { OutcomePeerClient } from "./outcome_peer_client.ts";

/** The dependencies of {@link NodeKeyedExecution}. */
export interface KeyedExecutionParts {
  readonly self: NodeId;
  readonly incarnation: IncarnationId;
  readonly clock: SteadyClock;
  readonly peers: Pick<OutcomePeerClient, "run">;
  readonly claims: Pick<ClaimRouter, "claim">;
  readonly rules: DeliveryRules;
}

interface AcceptedRequest {
  readonly work: string;
  readonly key: string;
  readonly payload: Uint8Array;
  readonly digest: string;
}

interface PendingRequest {
  readonly request: AcceptedRequest;
  readonly resolve: (result: KeyedResult) => void;
}

/** Executes the decisions of this incarnation's {@link KeyCoordinator}. */
export class NodeKeyedExecution extends KeyedExecution {
  readonly #parts: KeyedExecutionParts;
  readonly #coordinator: KeyCoordinator;
  readonly #handlers = new Map<string, KeyedRequestHandler>();
  readonly #pendingRequests = new Map<number, PendingRequest>();
  #lastTicket = 0;

  /** @param parts The dependencies. */
  constructor(parts: KeyedExecutionParts) {
    super();
    this.#parts = parts;
    this.#coordinator = new KeyCoordinator({
      self: parts.self,
      incarnation: parts.incarnation,
      rules: parts.rules,
      limits: KEY_LEDGER_LIMITS,
      timing: KEY_SCOPE_LIMITS,
      nextNonce: () => randomUUID(),
    });
  }

  override register(name: string, handler: KeyedRequestHandler): void {
    this.#handlers.set(name, handler);
  }

  override createScopePrefix(lifetimeMilliseconds: number): string {
    const { self, incarnation, clock } = this.#parts;
    const lifetime = milliseconds(
      lifetimeMilliseconds + SCOPED_KEY_RETRY_WINDOW,
    );
    const expiresAt = later(clock.now(), lifetime);
    return scopePrefix({ node: self, incarnation, expiresAt });
  }

  override execute(request: KeyedRequest): Promise<KeyedResult> {
    return this.#accept({ ...request, digest: digestOf(request) });
  }

  /**
   * Runs a request that a peer forwarded.
   * @param run The request and the incarnation that may run it.
   * @returns The outcome.
   */
  runForPeer(run: KeyedRun): Promise<KeyedResult> {
    const { nonce } = run;
    const incarnation = incarnationId(run.incarnation);
    return this.#accept(run, { incarnation, nonce });
  }

  #accept(
    request: AcceptedRequest,
    forPeer?: KeyedCall["forPeer"],
  ): Promise<KeyedResult> {
    const key = parseExecutionKey(request.key);
    if (key.isErr()) return Promise.resolve(err(key.error));
    return new Promise((resolve) => {
      this.#lastTicket += 1;
      const ticket = this.#lastTicket;
      this.#pendingRequests.set(ticket, { request, resolve });
      const { digest } = request;
      const now = this.#parts.clock.now();
      this.#executeActions(
        this.#coordinator.request(now, {
          ticket,
          key: key.value,
          digest,
          ...(forPeer !== undefined && { forPeer }),
        }),
      );
    });
  }

  #executeActions(actions: readonly KeyAction[]): void {
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
    this.#executeActions(this.#coordinator.claimSettled(now, nonce, verdict));
  }

  async #run(ticket: number, key: IdempotencyKey): Promise<void> {
    const request = this.#pendingRequests.get(ticket)?.request;
    const result = request === undefined
      ? err(unknownHandler("a request that is gone"))
      : await this.#runHandler(request);
    const now = this.#parts.clock.now();
    this.#executeActions(this.#coordinator.runEnded(now, key, result));
  }

  #runHandler(request: AcceptedRequest): Promise<KeyedResult> {
    const handler = this.#handlers.get(request.work);
    if (handler === undefined) {
      return Promise.resolve(err(unknownHandler(request.work)));
    }
    return handler(request.payload, request.key);
  }

  async #forward(
    action: Extract<KeyAction, { readonly kind: "forward" }>,
  ): Promise<void> {
    const { ticket, node, incarnation, nonce } = action;
    const request = this.#pendingRequests.get(ticket)?.request;
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
    this.#executeActions(this.#coordinator.forwardEnded(now, ticket, result));
  }

  #answer(ticket: number, result: KeyedResult): void {
    const pending = this.#pendingRequests.get(ticket);
    this.#pendingRequests.delete(ticket);
    pending?.resolve(result);
  }
}

function digestOf(request: KeyedRequest): string {
  return createHash("sha256")
    .update(`${request.work}\n`)
    .update(request.identity ?? request.payload)
    .digest("base64url");
}

function unknownHandler(work: string): Failure {
  return {
    reason: "not_found",
    step: "claim_key",
    peer: "self",
    message: `No work is called "${work}" here.`,
    outcome: "not_run",
  };
}
