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

/** What may be wrong with a server. */
export interface ModelServerFaults {
  /** Multiplies the time that a call takes. */
  slowness: number;
  /** The share of calls that run and are answered at once with status 500. */
  failShare: number;
  /** The share of calls that are stated as not run. */
  refuseShare: number;
  /** The share of calls whose connection is lost before they run. */
  dropShare: number;
  /** The share of calls that run, but whose answer is lost. */
  loseShare: number;
  /** Calls are taken and run, but never answered. */
  isHanging: boolean;
  /** No connection is accepted. */
  isClosed: boolean;
  /** Each answer says that the server is leaving. */
  isLeaving: boolean;
}

/** A server's size. */
export interface ModelServerSize {
  readonly id: BackendServerId;
  readonly failureDomain: FailureDomainId;
  /** Calls that run at once; more of them queue. */
  readonly workers: number;
  /** The mean time of a call while it runs, in milliseconds. */
  readonly meanMilliseconds: number;
}

type Answer = (result: AttemptResult) => void;

const QUICK_MILLISECONDS = 0.2;
const OK = 200;
const INTERNAL_ERROR = 500;
const UNAVAILABLE = 503;

/** A server of a plain service as a small function of time. */
export class ModelServer {
  readonly size: ModelServerSize;
  readonly faults: ModelServerFaults = {
    slowness: 1,
    failShare: 0,
    refuseShare: 0,
    dropShare: 0,
    loseShare: 0,
    isHanging: false,
    isClosed: false,
    isLeaving: false,
  };
  readonly runs = new Map<RequestId, number>();
  /** How many calls came here, whatever became of them. */
  received = 0;
  readonly #timeline: Timeline;
  readonly #random: RandomSource;
  readonly #queue: (() => void)[] = [];
  #running = 0;

  /**
   * @param size The server's size.
   * @param timeline Virtual time.
   * @param random Draws times and faults.
   */
  constructor(size: ModelServerSize, timeline: Timeline, random: RandomSource) {
    this.size = size;
    this.#timeline = timeline;
    this.#random = random;
  }

  /**
   * Takes a call.
   * @param call The call.
   * @param answer Gets what comes back, if anything does.
   */
  receive(call: RequestId, answer: Answer): void {
    const { faults } = this;
    this.received += 1;
    if (faults.isClosed) {
      answer(failed("unavailable", "not_run"));
    } else if (this.#happens(faults.dropShare)) {
      answer(failed("unavailable", "unknown"));
    } else if (this.#happens(faults.refuseShare)) {
      answer(this.#answered(UNAVAILABLE, "not_run"));
    } else if (this.#happens(faults.failShare)) {
      this.#countRun(call);
      this.#timeline.after(QUICK_MILLISECONDS, () => {
        answer(this.#answered(INTERNAL_ERROR));
      });
    } else {
      this.#queue.push(() => {
        this.#run(call, answer);
      });
      this.#startNext();
    }
  }

  #startNext(): void {
    while (this.#running < this.size.workers) {
      const start = this.#queue.shift();
      if (start === undefined) return;
      this.#running += 1;
      start();
    }
  }

  #run(call: RequestId, answer: Answer): void {
    this.#countRun(call);
    const isLost = this.#happens(this.faults.loseShare);
    const { isHanging } = this.faults;
    this.#timeline.after(this.#drawTime(), () => {
      this.#running -= 1;
      this.#startNext();
      if (isHanging) return;
      answer(isLost ? failed("unavailable", "unknown") : this.#answered(OK));
    });
  }

  /** Half of the time is fixed, half is exponential. */
  #drawTime(): number {
    const mean = this.size.meanMilliseconds * this.faults.slowness;
    const exponential = -Math.log(1 - uniformFloat64(this.#random));
    return mean * (0.5 + 0.5 * exponential);
  }

  #countRun(call: RequestId): void {
    this.runs.set(call, (this.runs.get(call) ?? 0) + 1);
  }

  #happens(share: number): boolean {
    return share > 0 && uniformFloat64(this.#random) < share;
  }

  #answered(status: number, statedOutcome?: "not_run"): AttemptResult {
    return {
      kind: "answered",
      status,
      leaving: this.faults.isLeaving,
      ...(statedOutcome !== undefined && { statedOutcome }),
    };
  }
}

/**
 * Makes the result of an attempt that got no answer.
 * @param reason Why.
 * @param outcome What is known of the run.
 * @returns The result.
 */
export function failed(
  reason: Failure["reason"],
  outcome: Failure["outcome"],
): AttemptResult {
  return {
    kind: "failed",
    failure: {
      reason,
      step: "call_service",
      peer: "model",
      message: "The model server gave no answer.",
      outcome,
    },
  };
}
