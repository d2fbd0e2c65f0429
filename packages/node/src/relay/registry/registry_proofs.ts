import {
  ConfigurationFreshness,
  type Duration,
  type Instant,
} from "@foxtailwind/core";
import type { SteadyClock } from "../../clock/steady_clock.ts";
import { SuspensionAwareClock } from "../../clock/suspension_aware_clock.ts";

/** The proofs that this node has the whole registry of servers. */
export class RegistryProofs {
  readonly #clock: SteadyClock;
  readonly #freshness = new ConfigurationFreshness();

  /** @param clock The node's clock, which stands still during suspensions. */
  constructor(clock: SteadyClock) {
    this.#clock = new SuspensionAwareClock(clock);
  }

  /** The present time, by the clock that the proofs age by. */
  get now(): Instant {
    return this.#clock.now();
  }

  /**
   * How long ago this node certainly had the whole registry, or undefined if it
   * never had.
   */
  get age(): Duration | undefined {
    return this.#freshness.age(this.now);
  }

  /**
   * Records a read of the whole registry.
   * @param begunAt When the read began.
   */
  recordRead(begunAt: Instant): void {
    this.#freshness.recordRead(begunAt);
  }

  /**
   * Records a peer's proof, whose changes this node has applied.
   * @param askedAt When this node asked the peer.
   * @param age The age of the peer's proof, or undefined if it has none.
   */
  recordPeerProof(askedAt: Instant, age: Duration | undefined): void {
    if (age === undefined) return;
    this.#freshness.recordPeerProof(askedAt, age);
  }
}
