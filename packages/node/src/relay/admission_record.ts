import { type Duration, milliseconds } from "@foxtailwind/core";

/** How a request for a place on one of this node's engines ended. */
export type AdmissionOutcome =
  | "granted"
  /** The sender gave up, or the engine or its owner went away. */
  | "withdrawn"
  /** It couldn't begin before its sender would give up. */
  | "no_place"
  /** It couldn't begin in time here, and its sender may ask elsewhere. */
  | "late"
  /** Its turn did not come before its sender gave up. */
  | "expired";

/** Receives the end of each request for a place. */
export type AdmissionListener = (
  priority: number,
  outcome: AdmissionOutcome,
  waited: Duration,
) => void;

/** What became of the requests for places on this node's engines. */
export class AdmissionRecord {
  readonly #waiting = new Map<number, number>();
  #listener: AdmissionListener | undefined;

  /** The numbers of waiting requests by priority. */
  get waiting(): ReadonlyMap<number, number> {
    return this.#waiting;
  }

  /**
   * Sets the receiver of what is recorded.
   * @param listener The receiver.
   */
  listen(listener: AdmissionListener): void {
    this.#listener = listener;
  }

  /**
   * Records a request that begins to wait.
   * @param priority The priority of its class.
   */
  recordWaiting(priority: number): void {
    this.#waiting.set(priority, (this.#waiting.get(priority) ?? 0) + 1);
  }

  /**
   * Records a request that no longer waits.
   * @param priority The priority of its class.
   * @param outcome How the wait ended.
   * @param waited How long it lasted.
   */
  recordEnd(
    priority: number,
    outcome: AdmissionOutcome,
    waited: Duration,
  ): void {
    this.#waiting.set(priority, (this.#waiting.get(priority) ?? 1) - 1);
    this.#listener?.(priority, outcome, waited);
  }

  /**
   * Records a request that was refused at once.
   * @param priority The priority of its class.
   * @param outcome Why.
   */
  recordRefusal(priority: number, outcome: AdmissionOutcome): void {
    this.#listener?.(priority, outcome, milliseconds(0));
  }
}
