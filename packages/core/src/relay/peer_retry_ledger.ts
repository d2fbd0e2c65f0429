import { type Duration, elapsed, type Instant } from "../shared/mod.ts";

/** A node's requests to a service and its retries, both in the last window. */
export interface RetryUse {
  readonly requests: number;
  readonly retries: number;
  /** Those of the retries that may not have arrived yet. */
  readonly unsettled: number;
}

/** The report of one run of a node. */
export interface PeerRetryUse extends RetryUse {
  /** Identifies the run. */
  readonly run: string;
  /** What runs that ended lately had last reported to it, if any ended. */
  readonly departed: RetryUse | undefined;
}

/** For how many windows a run that has ended is kept. */
const KEPT_WINDOWS = 2;

const NOTHING: RetryUse = { requests: 0, retries: 0, unsettled: 0 };

interface KnownRun {
  readonly report: PeerRetryUse;
  readonly heardAt: Instant;
}

/**
 * What the other nodes reported of their retries, including runs that have ended
 * or fallen silent lately.
 */
export class PeerRetryLedger {
  readonly #window: Duration;
  readonly #departed = new Map<string, KnownRun>();
  #present = new Map<string, KnownRun>();

  /** @param window The window of the limits. */
  constructor(window: Duration) {
    this.#window = window;
  }

  /** The sums over the peers that are present. */
  get present(): RetryUse {
    return sumOf([...this.#present.values()].map(({ report }) => report));
  }

  /**
   * Applies the newest reports.
   * @param now The present time.
   * @param reports A report of each peer that is present.
   */
  applyReports(now: Instant, reports: readonly PeerRetryUse[]): void {
    for (const [run, known] of this.#present) this.#departed.set(run, known);
    this.#present = new Map(
      reports.map((report) => [report.run, { report, heardAt: now }]),
    );
    for (const [run, { heardAt }] of this.#departed) {
      const isOver = elapsed(heardAt, now) >= this.#window * KEPT_WINDOWS;
      if (isOver || this.#present.has(run)) this.#departed.delete(run);
    }
  }

  /**
   * Sums up the runs that this node has seen end within two windows: until then,
   * the requests that other nodes took over from them may count. Their own
   * requests leave the window as time passes; their retries may all be recent,
   * and those on the way may still arrive.
   * @param now The present time.
   * @returns The sums, or `undefined` if no run has ended.
   */
  observedDepartures(now: Instant): RetryUse | undefined {
    if (this.#departed.size === 0) return undefined;
    return sumOf(
      [...this.#departed.values()].map(({ report, heardAt }) => {
        const age = elapsed(heardAt, now) / this.#window;
        const { requests, retries, unsettled } = report;
        return {
          requests: Math.floor(requests * Math.max(0, 1 - age)),
          retries: age < 1 ? retries : unsettled,
          unsettled,
        };
      }),
    );
  }

  /**
   * Sums up the runs that ended lately, as this node or the peer with the most
   * complete record has seen them.
   * @param now The present time.
   * @returns The sums, or `undefined` if no run has ended.
   */
  departures(now: Instant): RetryUse | undefined {
    const reported = [...this.#present.values(), ...this.#departed.values()]
      .filter(({ heardAt }) => elapsed(heardAt, now) < this.#window)
      .map(({ report }) => report.departed);
    return [this.observedDepartures(now), ...reported].reduce((most, one) =>
      (one?.retries ?? -1) > (most?.retries ?? -1) ? one : most
    );
  }
}

function sumOf(uses: readonly RetryUse[]): RetryUse {
  return uses.reduce((sum, { requests, retries, unsettled }) => ({
    requests: sum.requests + requests,
    retries: sum.retries + retries,
    unsettled: sum.unsettled + unsettled,
  }), NOTHING);
}
