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
import type { ClaimVerdict } from "./claim_gathering.ts";
import type { KeyClaim } from "./claim_record.ts";
import type { DeliveryRules } from "./delivery_rules.ts";
import type { BoundKey, FreeKey } from "./execution_key.ts";
import type { KeyAction, KeyedCall } from "./key_action.ts";
import { forgotten, otherBody } from "./key_failures.ts";
import {
  KeyLedger,
  type KeyLedgerLimits,
  type KeyUse,
  type RunResult,
} from "./key_ledger.ts";
import { checkScope } from "./key_scope_check.ts";
import type { KeyTiming } from "./key_timing.ts";

/** Options of a key coordinator. */
export interface KeyCoordinatorOptions {
  readonly self: NodeId;
  readonly incarnation: IncarnationId;
  readonly rules: DeliveryRules;
  readonly limits: Omit<KeyLedgerLimits, "peer">;
  readonly timing: KeyTiming;
  /** Generates a unique nonce for a claim. */
  readonly nextNonce: () => string;
}

interface InFlight {
  readonly call: KeyedCall;
  readonly tickets: number[];
  /** The nonce of the claim under which the key runs or will run. */
  nonce: string | undefined;
}

/** Decides which requests with idempotency keys a node incarnation runs. */
export class KeyCoordinator {
  readonly #options: KeyCoordinatorOptions;
  readonly #ledger: KeyLedger;
  readonly #abandoned: AbandonedClaims;
  readonly #inFlight = new Map<IdempotencyKey, InFlight>();
  readonly #claimed = new Map<string, IdempotencyKey>();
  readonly #forwarded = new Map<number, IdempotencyKey>();

  /** @param options The options. */
  constructor(options: KeyCoordinatorOptions) {
    const { limits, self, rules } = options;
    this.#options = options;
    this.#ledger = new KeyLedger({ ...limits, peer: self }, rules);
    this.#abandoned = new AbandonedClaims(limits);
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
    const key = this.#claimed.get(nonce);
    const flight = key === undefined ? undefined : this.#inFlight.get(key);
    this.#claimed.delete(nonce);
    if (flight === undefined) return [];
    switch (verdict.kind) {
      case "refused":
        this.#abandoned.add(now, nonce);
        return this.#end(now, flight, err(verdict.failure));
      case "winner":
        return this.#followWinner(now, flight, verdict.claim);
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
    const flight = this.#inFlight.get(key);
    if (flight === undefined) return [];
    const notRun = result.isErr() && result.error.outcome === "not_run";
    if (notRun && flight.nonce !== undefined) {
      this.#abandoned.add(now, flight.nonce);
    }
    return this.#end(now, flight, result);
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
    const key = this.#forwarded.get(ticket);
    this.#forwarded.delete(ticket);
    const flight = key === undefined ? undefined : this.#inFlight.get(key);
    if (flight === undefined) return [{ kind: "answer", ticket, result }];
    return this.#end(now, flight, result);
  }

  #requestBound(
    now: Instant,
    call: KeyedCall,
    key: BoundKey,
  ): readonly KeyAction[] {
    const { incarnation, rules, self } = this.#options;
    const { scope } = key;
    if (!rules.mayRunScope(scope.incarnation, incarnation)) {
      if (call.forPeer !== undefined) return refuse(call, forgotten(self));
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
    const use = { ...useOf(call), keepUntil: scope.expiresAt };
    return this.#admit(now, { call, use }, () => this.#run(call, undefined));
  }

  #requestFree(
    now: Instant,
    call: KeyedCall,
    key: FreeKey,
  ): readonly KeyAction[] {
    const use = useOf(call);
    const { forPeer } = call;
    if (forPeer === undefined) {
      return this.#admit(now, { call, use }, () => this.#claim(call, key));
    }
    const { incarnation, self } = this.#options;
    const found = this.#ledger.find(use);
    const isNew = found.isOk() && found.value === undefined;
    const isMine = forPeer.incarnation === incarnation;
    if (!isMine || (isNew && !this.#abandoned.take(forPeer.nonce))) {
      return refuse(call, forgotten(self));
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
    first: () => readonly KeyAction[],
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
        return first();
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
    this.#claimed.set(claim.nonce, key.key);
    const flight = this.#inFlight.get(key.key);
    if (flight !== undefined) flight.nonce = claim.nonce;
    return [{ kind: "claim", claim }];
  }

  #followWinner(
    now: Instant,
    flight: InFlight,
    winner: KeyClaim,
  ): readonly KeyAction[] {
    const { incarnation, self, rules } = this.#options;
    const { call } = flight;
    assertInvariant(
      winner.key === call.key.key,
      "own_answer_only",
      () => `The claim is for ${winner.key}, not for ${call.key.key}.`,
    );
    if (winner.digest !== call.digest) {
      return this.#end(now, flight, err(otherBody(self)));
    }
    if (!rules.mayRunScope(winner.incarnation, incarnation)) {
      this.#forwarded.set(call.ticket, winner.key);
      return [{
        kind: "forward",
        ticket: call.ticket,
        node: winner.node,
        incarnation: winner.incarnation,
        nonce: winner.nonce,
      }];
    }
    return this.#runWon(now, flight, winner);
  }

  /**
   * Runs the key if the winning claim of this incarnation is the present one
   * or an abandoned one.
   */
  #runWon(
    now: Instant,
    flight: InFlight,
    winner: KeyClaim,
  ): readonly KeyAction[] {
    const mayRun = winner.nonce === flight.nonce ||
      this.#abandoned.take(winner.nonce);
    if (!mayRun) return this.#end(now, flight, err(forgotten(winner.node)));
    return this.#run(flight.call, winner.nonce);
  }

  #run(call: KeyedCall, nonce: string | undefined): readonly KeyAction[] {
    const flight = this.#inFlight.get(call.key.key);
    if (flight !== undefined) flight.nonce = nonce;
    this.#ledger.started(call.key.key);
    return [{ kind: "run", ticket: call.ticket, key: call.key.key }];
  }

  #end(
    now: Instant,
    flight: InFlight,
    result: RunResult,
  ): readonly KeyAction[] {
    const { key } = flight.call.key;
    this.#inFlight.delete(key);
    this.#ledger.finished(now, key, result);
    return flight.tickets.map((ticket) => ({ kind: "answer", ticket, result }));
  }
}

function useOf(call: KeyedCall): KeyUse {
  return { key: call.key.key, digest: call.digest };
}

function refuse(call: KeyedCall, failure: Failure): readonly KeyAction[] {
  return [{ kind: "answer", ticket: call.ticket, result: err(failure) }];
}
