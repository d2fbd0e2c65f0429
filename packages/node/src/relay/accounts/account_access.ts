import {
  type ClientAccount,
  decideAccess,
  type Duration,
  elapsed,
  type Instant,
  later,
  milliseconds,
  type RequestAccess,
  type Route,
} from "@foxtailwind/core";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallerRequest } from "../caller_wire.ts";
import type { Knowledge } from "../knowledge.ts";
import type { RelayRefusal } from "../relay_refusal.ts";

/** How long a request waits for a proof of the newest configuration. */
const PROOF_WAIT = milliseconds(300);
const PROOF_POLL_MILLISECONDS = 10;
/**
 * The age of a proof, as a share of the revocation time, from which on a request
 * asks for a newer one without waiting for it. Nodes that inform others may have
 * been turned away by the log, and it takes them a while to be replaced.
 */
const RENEWAL_AGE = 0.5;
/** The interval between two such questions. */
const RENEWAL_INTERVAL = milliseconds(500);

/** The dependencies of {@link AccountAccess}. */
export interface AccountAccessParts {
  readonly knowledge: Pick<Knowledge, "routes"> & {
    readonly proofs: Pick<Knowledge["proofs"], "age" | "now">;
  };
  /** Returns how long a revoked key may be used, if that is limited. */
  readonly revocationTime: () => Duration | undefined;
  /** Asks peers and the log for a proof of the newest configuration. */
  readonly requestProof: () => void;
}

/** What decides on a request's access. */
export interface AccessRequest {
  readonly route: Route;
  readonly caller: CallerRequest;
}

/** A request that was granted access, to be checked again before it is sent. */
export interface GrantedRequest extends AccessRequest {
  readonly account: ClientAccount | undefined;
}

/** Checks requests' API keys against the configuration in force. */
export class AccountAccess {
  readonly #parts: AccountAccessParts;
  #renewedAt: Instant | undefined;

  /** @param parts The dependencies. */
  constructor(parts: AccountAccessParts) {
    this.#parts = parts;
  }

  /**
   * Decides on a request's access, after a short wait if this node has no
   * recent proof that its configuration is the newest.
   * @param request The request.
   * @returns The decision.
   */
  async decide(request: AccessRequest): Promise<RequestAccess> {
    const { knowledge: { proofs }, requestProof } = this.#parts;
    const first = this.#decideNow(request);
    this.#renewProof();
    if (first.kind !== "stale") return first;
    requestProof();
    const end = later(proofs.now, PROOF_WAIT);
    for (;;) {
      await sleep(PROOF_POLL_MILLISECONDS);
      const access = this.#decideNow(request);
      if (access.kind !== "stale" || elapsed(proofs.now, end) <= 0) {
        return access;
      }
    }
  }

  /**
   * Checks again whether a request may run, because its key may have been
   * revoked while it waited.
   * @param request The request.
   * @returns Why it may not run, or `undefined` if it may.
   */
  findRefusal(request: GrantedRequest): RelayRefusal | undefined {
    const access = this.#decideNow(request);
    if (access.kind === "unknown_key") return "unknown_key";
    const isSameAccount = access.kind === "granted" &&
      access.account?.id === request.account?.id;
    return isSameAccount ? undefined : "stale_configuration";
  }

  /** Asks for a newer proof if the present one is old. */
  #renewProof(): void {
    const { knowledge: { proofs, routes }, requestProof } = this.#parts;
    const revocationTime = this.#parts.revocationTime();
    if (revocationTime === undefined || routes?.accounts === undefined) return;
    const { age, now } = proofs;
    if (age !== undefined && age < revocationTime * RENEWAL_AGE) return;
    const isDue = this.#renewedAt === undefined ||
      elapsed(this.#renewedAt, now) >= RENEWAL_INTERVAL;
    if (!isDue) return;
    this.#renewedAt = now;
    requestProof();
  }

  #decideNow({ route, caller }: AccessRequest): RequestAccess {
    const { knowledge, revocationTime } = this.#parts;
    return decideAccess({
      accounts: knowledge.routes?.accounts,
      isAnonymous: route.isAnonymous ?? false,
      key: caller.key,
      configurationAge: knowledge.proofs.age,
      revocationTime: revocationTime(),
    });
  }
}
