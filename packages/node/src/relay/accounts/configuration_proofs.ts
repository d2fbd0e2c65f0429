import {
  ConfigurationFreshness,
  type Duration,
  eraOf,
  type Instant,
  type LogOffset,
  logOffset,
} from "@foxtailwind/core";
import type { SteadyClock } from "../../clock/steady_clock.ts";
import { SuspensionAwareClock } from "../../clock/suspension_aware_clock.ts";

/** A peer's statement of how recently it had the newest configuration. */
export interface PeerProof {
  /** The age of its own proof, or undefined if it has none. */
  readonly age: Duration | undefined;
  /** The offset up to which it has the operators' records. */
  readonly end: number;
}

/** The proofs that this node has the newest configuration. */
export class ConfigurationProofs {
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
   * How long ago this node certainly had the newest configuration, or undefined
   * if it never had.
   */
  get age(): Duration | undefined {
    return this.#freshness.age(this.now);
  }

  /**
   * Records a read of all of the operators' records.
   * @param begunAt When the read began.
   */
  recordRead(begunAt: Instant): void {
    this.#freshness.recordRead(begunAt);
  }

  /**
   * Records a peer's proof. It proves nothing about this node if the peer has
   * more of the operators' records.
   * @param askedAt When this node asked the peer.
   * @param proof The peer's proof.
   * @param ownEnd The offset up to which this node has these records.
   */
  recordPeerProof(
    askedAt: Instant,
    { age, end }: PeerProof,
    ownEnd: LogOffset,
  ): void {
    // In another era, equal offsets are those of other records.
    const isOtherEra = Number.isFinite(end) &&
      eraOf(logOffset(end)) !== eraOf(ownEnd);
    if (age === undefined || end > ownEnd || isOtherEra) return;
    this.#freshness.recordPeerProof(askedAt, age);
  }
}
