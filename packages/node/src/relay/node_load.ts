import { elapsed, type Instant, milliseconds } from "@foxtailwind/core";
import { type EventLoopUtilization, performance } from "node:perf_hooks";

/** The interval between two samples of the event loop utilization. */
const SAMPLE_INTERVAL = milliseconds(1_000);
/** The weight of the newest sample in the moving average. */
const NEWEST_SAMPLE_WEIGHT = 0.5;
/**
 * The utilization this soon after the process start reflects the startup, not
 * the load. If callers have already connected, the node counts as fully loaded,
 * since callers come back at the same time as the nodes.
 */
const STARTUP_TIME = milliseconds(3_000);
/** Loads are sent in this many steps, so that small changes send no news. */
const LOAD_STEPS = 16;
const THOUSANDTHS_PER_PROCESSOR = 1_000;

/** Measures the share of its VM that a node uses, by event loop utilization. */
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

  /** The load as sent to peers, in steps. */
  get encoded(): number {
    return Math.round(this.#load * LOAD_STEPS);
  }

  /** The share of its VM that the node uses, as peers decode it. */
  get share(): number {
    return decodeLoad(this.encoded);
  }

  /**
   * Samples the event loop utilization if that is due.
   * @param now The present time.
   * @param hasCallers Whether any caller has sent a request.
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
 * Decodes a load sent by a peer.
 * @param encoded The load in steps.
 * @returns The share of the VM that is in use, from 0 to 1.
 */
export function decodeLoad(encoded: number): number {
  return encoded / LOAD_STEPS;
}

/**
 * Decodes a capacity sent by a peer.
 * @param encoded In thousandths of a processor; 0 if not stated.
 * @returns The capacity in processors.
 */
export function decodeCapacity(encoded: number): number {
  return encoded === 0 ? 1 : encoded / THOUSANDTHS_PER_PROCESSOR;
}

/**
 * Encodes a capacity for peers.
 * @param processors The capacity in processors.
 * @returns The capacity in thousandths of a processor.
 */
export function encodeCapacity(processors: number): number {
  return Math.max(1, Math.round(processors * THOUSANDTHS_PER_PROCESSOR));
}
