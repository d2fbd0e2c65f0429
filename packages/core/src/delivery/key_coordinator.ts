import { err } from "neverthrow";
import {
  assertInvariant,
  type Failure,
  type IdempotencyKey,
  type IncarnationId,
  type Instant,
  type NodeId,
} from "../shared/mod.ts";
import { AbandonedClaims } from "./abandoned_claims.ts";
import type { ClaimVerdict } from "./claim_batcher.ts";
import type { KeyClaim } from "./claim_record.ts";
import type { DeliveryRules } from "./delivery_rules.ts";
import type { BoundKey, FreeKey } from "./execution_key.ts";
import type { KeyAction, KeyedCall } from "./key_action.ts";
import { bodyMismatch, unknownRun } from "./key_failures.ts";
import {
  KeyLedger,
  type KeyLedgerLimits,
  type KeyUse,
  type RunResult,
} from "./key_ledger.ts";
import { checkScope } from "./key_scope_check.ts";
import type { KeyScopeLimits } from "./key_scope_limits.ts";

/** Options of a key coordinator. */
export interface KeyCoordinatorOptions {
  readonly self: NodeId;
  readonly incarnation: IncarnationId;
  readonly rules: DeliveryRules;
  readonly limits: Omit<KeyLedgerLimits, "peer">;
  readonly timing: KeyScopeLimits;
  /** Generates a unique nonce for a claim. */
  readonly nextNonce: () => string;
}

interface InFlightRequest {
  readonly call: KeyedCall;
  readonly tickets: number[];
  /** The nonce of the claim under which the key runs or will run. */
  nonce: string | undefined;
}

/** Decides which requests with idempotency keys a node incarnation runs. */
export class KeyCoordinator {
  readonly #options: KeyCoordinatorOptions;
  readonly #ledger: KeyLedger;
  readonly #abandonedClaims: AbandonedClaims;
  readonly #inFlight = new Map<IdempotencyKey, InFlightRequest>();
  readonly #keyByNonce = new Map<string, IdempotencyKey>();
  readonly #keyByForwardedTicket = new Map<number, IdempotencyKey>();

  /** @param options The options. */
  constructor(options: KeyCoordinatorOptions) {
    const { limits, self, rules } = options;
    this.#options = options;
    this.#ledger = new KeyLedger({ ...limits, peer: self }, rules);
    this.#abandonedClaims = new AbandonedClaims(limits);
  }

  /** The number of remembered keys, including those in progress. */
  get size(): number {
    return this.#ledger.size;
  }

  /**
   * Handles a request from a caller or a peer.
   * @param now The present time.
   * @param call The request.
   * @returns The actions to carry out.
   */
  request(now: Instant, call: KeyedCall): readonly KeyAction[] {
    switch (call.key.kind) {
      case "bound":
        return this.#requestBound(now, call, call.key);
      case "free":
        return this.#requestFree(now, call, call.key);
    }
  }

  /**
   * Handles the settlement of a claim.
   * @param now The present time.
   * @param nonce The nonce of the claim.
   * @param verdict How the claim was settled.
   * @returns The actions to carry out.
   */
  claimSettled(
    now: Instant,
    nonce: string,
    verdict: ClaimVerdict,
  ): readonly KeyAction[] {
    const key = this.#keyByNonce.get(nonce);
    const inFlight = key === undefined ? undefined : this.#inFlight.get(key);
    this.#keyByNonce.delete(nonce);
    if (inFlight === undefined) return [];
    switch (verdict.kind) {
      case "refused":
        this.#abandonedClaims.add(now, nonce);
        return this.#finish(now, inFlight, err(verdict.failure));
      case "winner":
        return this.#followWinner(now, inFlight, verdict.claim);
    }
  }

  /**
   * Handles the end of a run that a `run` action started.
   * @param now The present time.
   * @param key The key.
   * @param result The result of the run.
   * @returns The actions to carry out.
   */
  runEnded(
    now: Instant,
    key: IdempotencyKey,
    result: RunResult,
  ): readonly KeyAction[] {
    const inFlight = this.#inFlight.get(key);
    if (inFlight === undefined) return [];
    const isProvenNotRun = result.isErr() && result.error.outcome === "not_run";
    if (isProvenNotRun && inFlight.nonce !== undefined) {
      this.#abandonedClaims.add(now, inFlight.nonce);
    }
    return this.#finish(now, inFlight, result);
  }

  /**
   * Handles the end of a forwarded request.
   * @param now The present time.
   * @param ticket The ticket of the request.
   * @param result The result.
   * @returns The actions to carry out.
   */
  forwardEnded(
    now: Instant,
    ticket: number,
    result: RunResult,
  ): readonly KeyAction[] {
    const key = this.#keyByForwardedTicket.get(ticket);
    this.#keyByForwardedTicket.delete(ticket);
    const inFlight = key === undefined ? undefined : this.#inFlight.get(key);
    if (inFlight === undefined) return [{ kind: "answer", ticket, result }];
    return this.#finish(now, inFlight, result);
  }

  #requestBound(
    now: Instant,
    call: KeyedCall,
    key: BoundKey,
  ): readonly KeyAction[] {
    const { incarnation, rules, self } = this.#options;
    const { scope } = key;
    if (!rules.mayRunScope(scope.incarnation, incarnation)) {
      if (call.forPeer !== undefined) return refuse(call, unknownRun(self));
      return [{
        kind: "forward",
        ticket: call.ticket,
        node: scope.node,
        incarnation: scope.incarnation,
        nonce: "",
      }];
    }
    const refused = checkScope(now, scope, this.#options);
    if (refused !== undefined) return refuse(call, refused);
    const use = { ...keyUseOf(call), keepUntil: scope.expiresAt };
    return this.#admit(now, { call, use }, () => this.#run(call, undefined));
  }

  #requestFree(
    now: Instant,
    call: KeyedCall,
    key: FreeKey,
  ): readonly KeyAction[] {
    const use = keyUseOf(call);
    const { forPeer } = call;
    if (forPeer === undefined) {
      return this.#admit(now, { call, use }, () => this.#claim(call, key));
    }
    const { incarnation, self } = this.#options;
    const found = this.#ledger.find(use);
    const isNew = found.isOk() && found.value === undefined;
    const isOwnIncarnation = forPeer.incarnation === incarnation;
    if (
      !isOwnIncarnation || (isNew && !this.#abandonedClaims.take(forPeer.nonce))
    ) {
      return refuse(call, unknownRun(self));
    }
    return this.#admit(
      now,
      { call, use },
      () => this.#run(call, forPeer.nonce),
    );
  }

  #admit(
    now: Instant,
    request: { readonly call: KeyedCall; readonly use: KeyUse },
    onNewKey: () => readonly KeyAction[],
  ): readonly KeyAction[] {
    const { call, use } = request;
    const { ticket } = call;
    const admitted = this.#ledger.admit(now, use);
    if (admitted.isErr()) return refuse(call, admitted.error);
    switch (admitted.value.kind) {
      case "replay":
        return [{ kind: "answer", ticket, result: admitted.value.result }];
      case "join":
        this.#inFlight.get(use.key)?.tickets.push(ticket);
        return [];
      case "run":
        this.#inFlight.set(use.key, {
          call,
          tickets: [ticket],
          nonce: undefined,
        });
        return onNewKey();
    }
  }

  #claim(call: KeyedCall, key: FreeKey): readonly KeyAction[] {
    const { self, incarnation, nextNonce, rules } = this.#options;
    if (!rules.needsClaim()) return this.#run(call, undefined);
    const claim: KeyClaim = {
      key: key.key,
      nonce: nextNonce(),
      digest: call.digest,
      node: self,
      incarnation,
      ...(key.epoch !== undefined && { epoch: key.epoch }),
    };
    this.#keyByNonce.set(claim.nonce, key.key);
    const inFlight = this.#inFlight.get(key.key);
    if (inFlight !== undefined) inFlight.nonce = claim.nonce;
    return [{ kind: "claim", claim }];
  }

  #followWinner(
    now: Instant,
    inFlight: InFlightRequest,
    winner: KeyClaim,
  ): readonly KeyAction[] {
    const { incarnation, self, rules } = this.#options;
    const { call } = inFlight;
    assertInvariant(
      winner.key === call.key.key,
      "own_answer_only",
      () => `The claim is for ${winner.key}, not for ${call.key.key}.`,
    );
    if (winner.digest !== call.digest) {
      return this.#finish(now, inFlight, err(bodyMismatch(self)));
    }
    if (!rules.mayRunScope(winner.incarnation, incarnation)) {
      this.#keyByForwardedTicket.set(call.ticket, winner.key);
      return [{
        kind: "forward",
        ticket: call.ticket,
        node: winner.node,
        incarnation: winner.incarnation,
        nonce: winner.nonce,
      }];
    }
    return this.#runIfOwnClaim(now, inFlight, winner);
  }

  /**
   * Runs the key if the winning claim of this incarnation is the present one
   * or an abandoned one.
   */
  #runIfOwnClaim(
    now: Instant,
    inFlight: InFlightRequest,
    winner: KeyClaim,
  ): readonly KeyAction[] {
    const mayRun = winner.nonce === inFlight.nonce ||
      this.#abandonedClaims.take(winner.nonce);
    if (!mayRun) {
      return this.#finish(now, inFlight, err(unknownRun(winner.node)));
    }
    return this.#run(inFlight.call, winner.nonce);
  }

  #run(call: KeyedCall, nonce: string | undefined): readonly KeyAction[] {
    const inFlight = this.#inFlight.get(call.key.key);
    if (inFlight !== undefined) inFlight.nonce = nonce;
    this.#ledger.started(call.key.key);
    return [{ kind: "run", ticket: call.ticket, key: call.key.key }];
  }

  #finish(
    now: Instant,
    inFlight: InFlightRequest,
    result: RunResult,
  ): readonly KeyAction[] {
    const { key } = inFlight.call.key;
    this.#inFlight.delete(key);
    this.#ledger.finished(now, key, result);
    return inFlight.tickets.map((ticket) => ({
      kind: "answer",
      ticket,
      result,
    }));
  }
}

function keyUseOf(call: KeyedCall): KeyUse {
  return { key: call.key.key, digest: call.digest };
}

function refuse(call: KeyedCall, failure: Failure): readonly KeyAction[] {
  return [{ kind: "answer", ticket: call.ticket, result: err(failure) }];
}
