import {
  type Duration,
  elapsed,
  type Instant,
  later,
  milliseconds,
} from "../shared/mod.ts";
import { PrefillTimeModel } from "./prefill_time_model.ts";

/** Weight of the newest answer in a server's moving average of latency. */
const LATENCY_WEIGHT = 0.15;
/** Weight of the newest answer in a server's moving average of failures. */
const FAILURE_WEIGHT = 0.15;
/** Failure rate above which a server is excluded for a while. */
const FAILURE_LIMIT = 0.6;
/**
 * Consecutive failed connections, or silences, from which a server is excluded.
 */
const UNRESPONSIVE_LIMIT = 2;
/** How long a server is excluded at first; doubled each time. */
const FIRST_PAUSE = milliseconds(400);
const LONGEST_PAUSE = milliseconds(3_000);
/** How long a server is excluded after it refused a request as full. */
const FULL_PAUSE = milliseconds(60);
/** Assumed for a server that has not answered yet. */
const INITIAL_LATENCY_MILLISECONDS = 30;

/** The time in which an idle server's latency decays to 1/e. */
const LATENCY_DECAY_MILLISECONDS = 3_000;

/** The result of a send to a server, as far as its health is concerned. */
export type SendResult =
  | { readonly kind: "answered"; readonly took: Duration }
  /** The server itself failed. */
  | { readonly kind: "failed" }
  /** No answer, or no connection. */
  | { readonly kind: "dead" }
  /** The server had no room for the request. */
  | { readonly kind: "full" }
  /** Ended for a reason unrelated to the server. */
  | { readonly kind: "neutral" };

/** One node's observations of one server. */
export class ServerLoad {
  /** How fast it prefills prompts, if it is an engine. */
  readonly prefillTimes = new PrefillTimeModel();
  #running = 0;
  #latency: number = INITIAL_LATENCY_MILLISECONDS;
  #failureRate = 0;
  #consecutiveUnresponsive = 0;
  #pauses = 0;
  #pausedUntil: Instant | undefined;
  #lastSentAt: Instant | undefined;
  #lastBytesAt: Instant | undefined;

  /** Requests that this node has sent and that have not ended. */
  get running(): number {
    return this.#running;
  }

  /** The share of recent requests that failed, 0 to 1. */
  get failureRate(): number {
    return this.#failureRate;
  }

  /** When bytes of any answer last arrived. */
  get lastBytesAt(): Instant | undefined {
    return this.#lastBytesAt;
  }

  /**
   * Records the arrival of bytes of an answer.
   * @param now The present time.
   */
  recordBytes(now: Instant): void {
    this.#lastBytesAt = now;
  }

  /**
   * Checks whether the server is excluded.
   * @param now The present time.
   * @returns Whether it is excluded.
   */
  isPaused(now: Instant): boolean {
    return this.#pausedUntil !== undefined && now < this.#pausedUntil;
  }

  /** Expected cost of a further request: latency, and the risk of failure. */
  get cost(): number {
    return this.#latency * (1 + this.#running) * (1 + 2 * this.#failureRate);
  }

  /**
   * Returns how long the server recently took to begin its answers. The value
   * decays while the server is idle, so that a slow server is tried again.
   * @param now The present time.
   * @returns Milliseconds.
   */
  decayedLatency(now: Instant): number {
    const idle = this.idleFor(now) ?? 0;
    return this.#latency * Math.exp((0 - idle) / LATENCY_DECAY_MILLISECONDS);
  }

  /**
   * Records a send.
   * @param now The present time.
   */
  recordSend(now: Instant): void {
    this.#running += 1;
    this.#lastSentAt = now;
  }

  /**
   * Records the end of a send.
   * @param now The present time.
   * @param result How it ended.
   */
  recordResult(now: Instant, result: SendResult): void {
    this.#running -= 1;
    switch (result.kind) {
      case "answered":
        this.#consecutiveUnresponsive = 0;
        this.#pauses = 0;
        this.#latency += LATENCY_WEIGHT * (result.took - this.#latency);
        this.#updateFailureRate(0);
        break;
      case "failed":
        this.#consecutiveUnresponsive = 0;
        this.#updateFailureRate(1);
        if (this.#failureRate > FAILURE_LIMIT) this.#pause(now);
        break;
      case "dead":
        this.#consecutiveUnresponsive += 1;
        this.#updateFailureRate(1);
        if (this.#consecutiveUnresponsive >= UNRESPONSIVE_LIMIT) {
          this.#pause(now);
        }
        break;
      case "full":
        this.#pausedUntil = later(now, FULL_PAUSE);
        break;
      case "neutral":
        break;
    }
  }

  /**
   * Returns the time since the last request was sent to the server.
   * @param now The present time.
   * @returns The time, or `undefined` if none was ever sent.
   */
  idleFor(now: Instant): Duration | undefined {
    return this.#lastSentAt === undefined
      ? undefined
      : elapsed(this.#lastSentAt, now);
  }

  #updateFailureRate(value: number): void {
    this.#failureRate += FAILURE_WEIGHT * (value - this.#failureRate);
  }

  #pause(now: Instant): void {
    if (this.isPaused(now)) return;
    const length = Math.min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** this.#pauses);
    this.#pauses += 1;
    this.#pausedUntil = later(now, milliseconds(length));
    this.#failureRate = FAILURE_LIMIT / 2;
  }
}

/** A server to choose from, with its observed load. */
export interface LoadedServer<Server> {
  readonly server: Server;
  readonly load: ServerLoad;
  /** Whether it is in the same failure domain as the choosing node. */
  readonly isNear: boolean;
}

/** Cost factor of servers in other failure domains. */
const REMOTE_COST_FACTOR = 1.3;

/**
 * Chooses the cheapest server that isn't excluded or, if all are excluded, the
 * cheapest of them.
 * @param now The present time.
 * @param servers The servers.
 * @param draw A random number in [0, 1) that breaks ties.
 * @returns The server, or `undefined` if there is none.
 */
export function chooseServer<Server>(
  now: Instant,
  servers: readonly LoadedServer<Server>[],
  draw: number,
): Server | undefined {
  const available = servers.filter(({ load }) => !load.isPaused(now));
  const candidates = available.length > 0 ? available : servers;
  const start = Math.floor(draw * candidates.length);
  let best: LoadedServer<Server> | undefined;
  for (let index = 0; index < candidates.length; index += 1) {
    const candidate = candidates[(start + index) % candidates.length];
    if (candidate === undefined) continue;
    if (best === undefined || effectiveCost(candidate) < effectiveCost(best)) {
      best = candidate;
    }
  }
  return best?.server;
}

function effectiveCost(
  { load, isNear }: LoadedServer<unknown>,
): number {
  return isNear ? load.cost : load.cost * REMOTE_COST_FACTOR;
}
