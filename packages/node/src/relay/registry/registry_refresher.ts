import {
  milliseconds,
  RegistryRenewals,
  type RegistryState,
} from "@foxtailwind/core";
import type { SteadyClock } from "../../clock/steady_clock.ts";
import type { Knowledge } from "../knowledge.ts";
import type { PeerExchange } from "../peer_exchange.ts";
import type { SharedLog } from "../shared_log.ts";

/** The dependencies of {@link RegistryRefresher}. */
export interface RegistryRefresherParts {
  readonly knowledge: Knowledge;
  readonly exchange: Pick<
    PeerExchange,
    "role" | "periodMilliseconds" | "exchangeWithOtherHub"
  >;
  readonly log: Pick<SharedLog, "readRegistry">;
  readonly clock: SteadyClock;
}

/**
 * Renews this node's proof that it has the whole registry of servers when the
 * nodes that inform it are late.
 */
export class RegistryRefresher {
  readonly #parts: RegistryRefresherParts;
  readonly #renewals = new RegistryRenewals();
  #timer: NodeJS.Timeout | undefined;

  /** @param parts The dependencies. */
  constructor(parts: RegistryRefresherParts) {
    this.#parts = parts;
  }

  /** Starts to renew the proof. */
  start(): void {
    const { knowledge, exchange, log } = this.#parts;
    const state = this.#state();
    if (exchange.role.isRelayed) {
      const renewal = this.#renewals.next(knowledge.registryProofs.now, state);
      if (renewal === "ask_hub") exchange.exchangeWithOtherHub();
      if (renewal === "read_log") log.readRegistry();
    }
    this.#timer = setTimeout(() => {
      this.start();
    }, this.#renewals.nextDecisionDelay(state));
  }

  /** Stops. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  #state(): RegistryState {
    const { knowledge, exchange, clock } = this.#parts;
    const now = clock.now();
    return {
      age: knowledge.registryProofs.age,
      isHub: exchange.role.isHub,
      exchangePeriod: milliseconds(exchange.periodMilliseconds),
      isLogReachable: knowledge.isLogReachable(now),
      doPeersReachLog: knowledge.peers.alive(now).some(({ reachesLog }) =>
        reachesLog
      ),
    };
  }
}
