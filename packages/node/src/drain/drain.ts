import {
  PlannedStop,
  type PlannedStopOptions,
  type StopAction,
  type StopPhase,
} from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { PartLogger } from "../logging/part_logger.ts";
import type { HandOver } from "./hand_over.ts";
import type { WorkInProgress } from "./work_in_progress.ts";

/** What a drain works with. */
export interface DrainParts {
  readonly terms: PlannedStopOptions;
  readonly work: WorkInProgress;
  readonly handOver: HandOver;
  readonly clock: SteadyClock;
  readonly logger: PartLogger;
}

/** Carries out a planned stop. */
export class Drain {
  readonly #parts: DrainParts;
  readonly #stop: PlannedStop;
  #timer: NodeJS.Timeout | undefined;
  #finished: Promise<number> | undefined;
  #finish: (cutOff: number) => void = () => undefined;

  /** @param parts What the drain works with. */
  constructor(parts: DrainParts) {
    this.#parts = parts;
    this.#stop = new PlannedStop(parts.terms);
    parts.work.onIdle(() => {
      this.#advance();
    });
  }

  /** How far the stop has come. */
  get phase(): StopPhase {
    return this.#stop.phase;
  }

  /** Whether this node takes no new work. */
  get isLeaving(): boolean {
    return this.#stop.phase !== "serving";
  }

  /**
   * Begins, or joins, the planned stop.
   * @returns Once nothing is in progress: how many requests were cut off,
   * which only a bound set by the operator can make other than 0.
   */
  run(): Promise<number> {
    this.#finished ??= new Promise((resolve) => {
      this.#finish = resolve;
      this.#stop.begin(this.#parts.clock.now());
      this.#advance();
    });
    return this.#finished;
  }

  #advance(): void {
    const now = this.#parts.clock.now();
    const orders = this.#stop.decide(now, this.#parts.work.count);
    for (const order of orders) this.#execute(order);
    clearTimeout(this.#timer);
    const wake = this.#stop.nextWake();
    if (wake === undefined) return;
    this.#timer = setTimeout(() => {
      this.#advance();
    }, Math.max(1, Math.ceil(wake - now)));
  }

  #execute(order: StopAction): void {
    switch (order.kind) {
      case "announce":
        void this.#announce();
        break;
      case "hand_over":
        void this.#releaseEngines();
        break;
      case "stop":
        this.#finish(order.cutOff);
        break;
    }
  }

  async #announce(): Promise<void> {
    const told = await this.#parts.handOver.announceLeaving();
    if (told.isErr()) {
      this.#warn("Some peers do not know of the stop.", told.error);
    } else this.#stop.announced(this.#parts.clock.now());
    this.#advance();
  }

  async #releaseEngines(): Promise<void> {
    const released = await this.#parts.handOver.releaseEngines();
    if (released.isErr()) {
      this.#warn("Engines were not handed over.", released.error);
    }
    this.#stop.handedOver();
    this.#advance();
  }

  #warn(
    sentence: string,
    failure: { readonly step: string; readonly peer: string },
  ): void {
    const { step, peer } = failure;
    this.#parts.logger.warn(sentence, { step, peer });
  }
}
