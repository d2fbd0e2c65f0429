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
  readonly inFlightBefore: number;
}

/** What an attempt's end is judged by. */
export interface AttemptJudgement {
  readonly result: AttemptResult;
  /** How quickly the service must answer; a failure counts as slow as that. */
  readonly target: Duration;
}

/** The attempts that have not ended, and where they run. */
export class AttemptLedger {
  readonly #latencies: LatencyWindow;
  readonly #attempts = new Map<string, Attempt>();

  /** @param latencies Receives the latency of each good answer. */
  constructor(latencies: LatencyWindow) {
    this.#latencies = latencies;
  }

  /**
   * Begins an attempt.
   * @param now The present time.
   * @param reference The attempt.
   * @param server Where it runs.
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
      () => `Attempt ${key} has begun before.`,
    );
    const inFlightBefore = server.inFlight;
    server.begin(now, key);
    this.#attempts.set(key, { server, startedAt: now, inFlightBefore });
  }

  /**
   * Ends an attempt and lets its server learn from it.
   * @param now The present time.
   * @param reference The attempt.
   * @param judgement How it ended.
   * @returns The server, or nothing where the attempt had ended before.
   */
  end(
    now: Instant,
    reference: AttemptReference,
    { result, target }: AttemptJudgement,
  ): ServiceServer | undefined {
    const key = attemptKey(reference);
    const attempt = this.#attempts.get(key);
    if (attempt === undefined) return undefined;
    this.#attempts.delete(key);
    const { server, startedAt, inFlightBefore } = attempt;
    if (result.kind === "answered" && result.leaving) server.leave();
    if (result.kind === "failed" && result.failure.reason === "cancelled") {
      server.release(now, key);
      return server;
    }
    const latency = elapsed(startedAt, now);
    const failed = isServerFault(result);
    if (!failed) this.#latencies.add(now, latency);
    server.end(now, key, {
      latency,
      inFlight: inFlightBefore,
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
