import { elapsed, type Instant, milliseconds } from "@foxtailwind/core";
import { type EventLoopUtilization, performance } from "node:perf_hooks";

/** Between two looks at the event loop. */
const SAMPLE_INTERVAL = milliseconds(1_000);
/** The weight of the newest look. */
const NEWEST_SAMPLE_WEIGHT = 0.5;
/**
 * What a process does so long after its start is its start: it says nothing of
 * the load. Where callers are there all the same, it counts as full, since they
 * come back together with the nodes.
 */
const STARTUP_TIME = milliseconds(3_000);
/** Loads are told in so many steps, so that few of their changes are news. */
const LOAD_STEPS = 16;
const THOUSANDTHS_PER_PROCESSOR = 1_000;

/** How much of what its VM can do a node uses, by what its event loop waits. */
export class NodeLoad {
  readonly #startedAt: Instant;
  #sampledAt: Instant;
  #previousUtilization: EventLoopUtilization = performance
    .eventLoopUtilization();
  #load = 0;

  /** @param now The present time. */
  constructor(now: Instant) {
    this.#startedAt = now;
    this.#sampledAt = now;
  }

  /** The load as it is told, in steps. */
  get encoded(): number {
    return Math.round(this.#load * LOAD_STEPS);
  }

  /** The share of its VM that the node uses, as others hear it. */
  get share(): number {
    return decodeLoad(this.encoded);
  }

  /**
   * Looks at the event loop, where that is due.
   * @param now The present time.
   * @param hasCallers Whether callers have come.
   */
  sample(now: Instant, hasCallers: boolean): void {
    const isStarting = elapsed(this.#startedAt, now) < STARTUP_TIME;
    if (isStarting) this.#load = hasCallers ? 1 : 0;
    if (elapsed(this.#sampledAt, now) < SAMPLE_INTERVAL) return;
    const utilization = performance.eventLoopUtilization();
    const { utilization: share } = performance.eventLoopUtilization(
      utilization,
      this.#previousUtilization,
    );
    this.#previousUtilization = utilization;
    this.#sampledAt = now;
    if (isStarting) return;
    this.#load += NEWEST_SAMPLE_WEIGHT * (share - this.#load);
  }
}

/**
 * Reads a load as it is told.
 * @param encoded In steps.
 * @returns The share of the VM that is in use, from 0 to 1.
 */
export function decodeLoad(encoded: number): number {
  return encoded / LOAD_STEPS;
}

/**
 * Reads a capacity as it is told.
 * @param encoded In thousandths of a processor; 0 where a node does not tell.
 * @returns In processors.
 */
export function decodeCapacity(encoded: number): number {
  return encoded === 0 ? 1 : encoded / THOUSANDTHS_PER_PROCESSOR;
}

/**
 * Writes a capacity to be told.
 * @param processors In processors.
 * @returns In thousandths of a processor.
 */
export function encodeCapacity(processors: number): number {
  return Math.max(1, Math.round(processors * THOUSANDTHS_PER_PROCESSOR));
}
