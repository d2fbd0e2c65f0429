import type {
  AttemptResult,
  BackendServerId,
  Failure,
  FailureDomainId,
  RandomSource,
  RequestId,
} from "@foxtailwind/core";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { Timeline } from "./timeline.ts";

/** Faults that a model server simulates. */
export interface ModelServerFaults {
  /** The factor by which the service time is multiplied. */
  slowdown: number;
  /** The share of calls that run and soon get a response with status 500. */
  failShare: number;
  /** The share of calls that are refused and reported as not run. */
  refuseShare: number;
  /** The share of calls whose connection is lost before they run. */
  dropShare: number;
  /** The share of calls that run but whose response is lost. */
  loseShare: number;
  /** Whether calls are accepted and run but never answered. */
  isHanging: boolean;
  /** Whether all connections are refused. */
  isClosed: boolean;
  /** Whether each response says that the server is leaving. */
  isLeaving: boolean;
}

/** The identity and capacity of a model server. */
export interface ModelServerOptions {
  readonly id: BackendServerId;
  readonly failureDomain: FailureDomainId;
  /** How many calls run concurrently; further calls wait in a queue. */
  readonly workers: number;
  /** The mean time that a call runs, without queueing, in milliseconds. */
  readonly meanServiceTimeMilliseconds: number;
}

type ResultCallback = (result: AttemptResult) => void;

const ERROR_RESPONSE_MILLISECONDS = 0.2;
const OK = 200;
const INTERNAL_ERROR = 500;
const UNAVAILABLE = 503;

/** A simulated backend server of a plain service, in virtual time. */
export class ModelServer {
  readonly options: ModelServerOptions;
  readonly faults: ModelServerFaults = {
    slowdown: 1,
    failShare: 0,
    refuseShare: 0,
    dropShare: 0,
    loseShare: 0,
    isHanging: false,
    isClosed: false,
    isLeaving: false,
  };
  /** How many times each call ran. */
  readonly runsByCall = new Map<RequestId, number>();
  /** How many calls arrived, whatever their outcome. */
  receivedCallCount = 0;
  readonly #timeline: Timeline;
  readonly #random: RandomSource;
  readonly #queue: (() => void)[] = [];
  #runningCalls = 0;

  /**
   * @param options The identity and capacity of the server.
   * @param timeline The virtual clock.
   * @param random The random source for service times and faults.
   */
  constructor(
    options: ModelServerOptions,
    timeline: Timeline,
    random: RandomSource,
  ) {
    this.options = options;
    this.#timeline = timeline;
    this.#random = random;
  }

  /**
   * Receives a call.
   * @param call The ID of the call.
   * @param onResult Called with the result, unless the call hangs.
   */
  receive(call: RequestId, onResult: ResultCallback): void {
    const { faults } = this;
    this.receivedCallCount += 1;
    if (faults.isClosed) {
      onResult(failedAttempt("unavailable", "not_run"));
    } else if (this.#drawBoolean(faults.dropShare)) {
      onResult(failedAttempt("unavailable", "unknown"));
    } else if (this.#drawBoolean(faults.refuseShare)) {
      onResult(this.#answeredResult(UNAVAILABLE, "not_run"));
    } else if (this.#drawBoolean(faults.failShare)) {
      this.#countRun(call);
      this.#timeline.schedule(ERROR_RESPONSE_MILLISECONDS, () => {
        onResult(this.#answeredResult(INTERNAL_ERROR));
      });
    } else {
      this.#queue.push(() => {
        this.#run(call, onResult);
      });
      this.#startQueuedCalls();
    }
  }

  #startQueuedCalls(): void {
    while (this.#runningCalls < this.options.workers) {
      const startCall = this.#queue.shift();
      if (startCall === undefined) return;
      this.#runningCalls += 1;
      startCall();
    }
  }

  #run(call: RequestId, onResult: ResultCallback): void {
    this.#countRun(call);
    const isLost = this.#drawBoolean(this.faults.loseShare);
    const { isHanging } = this.faults;
    this.#timeline.schedule(this.#drawServiceTime(), () => {
      this.#runningCalls -= 1;
      this.#startQueuedCalls();
      if (isHanging) return;
      onResult(
        isLost
          ? failedAttempt("unavailable", "unknown")
          : this.#answeredResult(OK),
      );
    });
  }

  /** Half of the mean is fixed, the other half is exponential. */
  #drawServiceTime(): number {
    const mean = this.options.meanServiceTimeMilliseconds *
      this.faults.slowdown;
    const exponential = -Math.log(1 - uniformFloat64(this.#random));
    return mean * (0.5 + 0.5 * exponential);
  }

  #countRun(call: RequestId): void {
    this.runsByCall.set(call, (this.runsByCall.get(call) ?? 0) + 1);
  }

  #drawBoolean(share: number): boolean {
    return share > 0 && uniformFloat64(this.#random) < share;
  }

  #answeredResult(status: number, statedOutcome?: "not_run"): AttemptResult {
    return {
      kind: "answered",
      status,
      leaving: this.faults.isLeaving,
      ...(statedOutcome !== undefined && { statedOutcome }),
    };
  }
}

/**
 * Creates the result of an attempt that got no response.
 * @param reason Why there was no response.
 * @param outcome Whether the call ran, as far as is known.
 * @returns The result.
 */
export function failedAttempt(
  reason: Failure["reason"],
  outcome: Failure["outcome"],
): AttemptResult {
  return {
    kind: "failed",
    failure: {
      reason,
      step: "call_service",
      peer: "model",
      message: "The model server sent no response.",
      outcome,
    },
  };
}
