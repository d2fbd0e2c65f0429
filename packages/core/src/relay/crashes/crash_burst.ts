import {
  type BackendServerId,
  elapsed,
  type Instant,
  milliseconds,
  type ServerStart,
} from "../../shared/mod.ts";
import type { CrashSuspicion } from "./crash_suspicion.ts";

/** Crashes that a node sees within this time belong to one burst. */
const BURST_TIME = milliseconds(200);

interface Burst {
  readonly startedAt: Instant;
  readonly server: BackendServerId;
  readonly start: ServerStart | undefined;
}

/**
 * Attributes the crashes that one node sees in a burst to one server.
 *
 * When a node loses its connections to several servers at once, the cause is
 * probably not the parts that their requests share, so they count only once
 * against each part. A whole content keeps its server: its request is retried
 * at once, and may end one server after another within a burst.
 */
export class CrashBursts {
  #burst: Burst | undefined;

  /**
   * Attributes the suspicions against a request to the burst they belong to.
   * @param brokeAt When the request's call broke.
   * @param suspicions The suspicions, all of one run of a server.
   * @returns The suspicions, those against parts with the burst's server.
   */
  attribute(
    brokeAt: Instant,
    suspicions: readonly CrashSuspicion[],
  ): readonly CrashSuspicion[] {
    const [first] = suspicions;
    if (first === undefined) return [];
    const burst = this.#findBurst(brokeAt) ??
      { startedAt: brokeAt, server: first.server, start: first.start };
    this.#burst = burst;
    return suspicions.map((one) => attributePart(one, burst));
  }

  #findBurst(brokeAt: Instant): Burst | undefined {
    if (this.#burst === undefined) return undefined;
    const distance = Math.abs(elapsed(this.#burst.startedAt, brokeAt));
    return distance <= BURST_TIME ? this.#burst : undefined;
  }
}

function attributePart(
  suspicion: CrashSuspicion,
  { server, start }: Burst,
): CrashSuspicion {
  const { content, partPosition, ranFor } = suspicion;
  if (partPosition === undefined) return suspicion;
  return {
    content,
    partPosition,
    ranFor,
    server,
    ...(start === undefined ? {} : { start }),
  };
}
