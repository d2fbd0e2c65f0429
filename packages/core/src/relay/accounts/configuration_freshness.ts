import { type Duration, elapsed, type Instant } from "../../shared/mod.ts";

/**
 * How old this node's newest proof is that it had the newest configuration.
 *
 * A read of the operators' records proves that the node has everything that was
 * acknowledged before the read was sent. A peer's answer proves the same as of
 * the moment at which this node asked, less the age that the peer states, if
 * this node has as many records as the peer. Only durations travel between
 * nodes, so no clock but the node's own is trusted, and an answer that is
 * delayed proves less.
 */
export class ConfigurationFreshness {
  #provenAt: Instant | undefined;

  /**
   * Records a read of the operators' records.
   * @param askedAt When the read was sent.
   */
  recordRead(askedAt: Instant): void {
    if (this.#provenAt === undefined || askedAt > this.#provenAt) {
      this.#provenAt = askedAt;
    }
  }

  /**
   * Records the answer of a peer whose operators' records this node has.
   * @param askedAt When this node asked.
   * @param age The age of the peer's own proof, when it answered.
   */
  recordPeerProof(askedAt: Instant, age: Duration): void {
    this.recordRead((askedAt - age) as Instant);
  }

  /**
   * Returns the age of the newest proof.
   * @param now The present time.
   * @returns The age, or `undefined` without any proof.
   */
  age(now: Instant): Duration | undefined {
    return this.#provenAt === undefined
      ? undefined
      : elapsed(this.#provenAt, now);
  }
}
