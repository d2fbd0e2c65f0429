import {
  assertInvariant,
  type Duration,
  elapsed,
  type Instant,
} from "../shared/mod.ts";
import type { LatencyWindow } from "./latency_window.ts";
import {
  type AttemptReference,
  type AttemptResult,
  isOverload,
  isServerFault,
} from "./service_call.ts";
import type { ServiceServer } from "./service_server.ts";

interface Attempt {
  readonly server: ServiceServer;
  readonly startedAt: Instant;
  readonly inFlightAtStart: number;
}

/** The result of an attempt and the target it is measured against. */
export interface EndedAttempt {
  readonly result: AttemptResult;
  /** The service's target; a failure counts as at least that slow. */
  readonly target: Duration;
}

/** Tracks the attempts in flight and the servers that run them. */
export class AttemptTracker {
  readonly #latencies: LatencyWindow;
  readonly #attempts = new Map<string, Attempt>();

  /** @param latencies Receives the latency of each attempt without a fault. */
  constructor(latencies: LatencyWindow) {
    this.#latencies = latencies;
  }

  /**
   * Begins an attempt.
   * @param now The present time.
   * @param reference The attempt.
   * @param server The server that runs it.
   */
  begin(
    now: Instant,
    reference: AttemptReference,
    server: ServiceServer,
  ): void {
    const key = attemptKey(reference);
    assertInvariant(
      !this.#attempts.has(key),
      "attempt_begins_once",
      () => `Attempt ${key} has already begun.`,
    );
    const inFlightAtStart = server.inFlight;
    server.beginAttempt(now, key);
    this.#attempts.set(key, {
      server,
      startedAt: now,
      inFlightAtStart,
    });
  }

  /**
   * Ends an attempt and updates the server's statistics.
   * @param now The present time.
   * @param reference The attempt.
   * @param ended How it ended, and the target.
   * @returns The server, or undefined if the attempt had already ended.
   */
  end(
    now: Instant,
    reference: AttemptReference,
    { result, target }: EndedAttempt,
  ): ServiceServer | undefined {
    const key = attemptKey(reference);
    const attempt = this.#attempts.get(key);
    if (attempt === undefined) return undefined;
    this.#attempts.delete(key);
    const { server, startedAt, inFlightAtStart: inFlight } = attempt;
    if (result.kind === "answered" && result.leaving) server.markLeaving();
    if (result.kind === "failed" && result.failure.reason === "cancelled") {
      server.releaseAttempt(now, key);
      return server;
    }
    const latency = elapsed(startedAt, now);
    const failed = isServerFault(result);
    if (!failed) this.#latencies.add(now, latency);
    server.endAttempt(now, key, {
      latency,
      inFlight,
      overloaded: isOverload(result),
      failed,
      target,
    });
    return server;
  }
}

function attemptKey({ call, attempt }: AttemptReference): string {
  return `${call}/${attempt}`;
}
