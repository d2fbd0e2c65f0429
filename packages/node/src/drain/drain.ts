import {
  PlannedStop,
  type PlannedStopOptions,
  type StopAction,
  type StopPhase,
} from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { HandOver } from "./hand_over.ts";
import type { WorkInProgress } from "./work_in_progress.ts";

/** The dependencies of {@link Drain}. */
export interface DrainParts {
  readonly options: PlannedStopOptions;
  readonly work: WorkInProgress;
  readonly handOver: HandOver;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
}

/** Executes a planned stop of this node. */
export class Drain {
  readonly #parts: DrainParts;
  readonly #stop: PlannedStop;
  #timer: NodeJS.Timeout | undefined;
  #finished: Promise<number> | undefined;
  #finish: (cutOff: number) => void = () => undefined;

  /** @param parts The dependencies. */
  constructor(parts: DrainParts) {
    this.#parts = parts;
    this.#stop = new PlannedStop(parts.options);
    parts.work.onIdle(() => {
      this.#advance();
    });
  }

  /** The current phase of the stop. */
  get phase(): StopPhase {
    return this.#stop.phase;
  }

  /** Whether this node has begun to stop and takes no new work. */
  get isLeaving(): boolean {
    return this.#stop.phase !== "serving";
  }

  /**
   * Begins the planned stop, or waits for the one in progress.
   * @returns The number of requests that were cut off, once nothing is in
   * progress. It is 0 unless the operator has set a time limit.
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
    const actions = this.#stop.decide(now, this.#parts.work.count);
    for (const action of actions) this.#execute(action);
    clearTimeout(this.#timer);
    const wake = this.#stop.nextWake();
    if (wake === undefined) return;
    this.#timer = setTimeout(() => {
      this.#advance();
    }, Math.max(1, Math.ceil(wake - now)));
  }

  #execute(action: StopAction): void {
    switch (action.kind) {
      case "announce":
        void this.#announce();
        break;
      case "hand_over":
        void this.#releaseEngines();
        break;
      case "stop":
        this.#finish(action.cutOff);
        break;
    }
  }

  async #announce(): Promise<void> {
    const announced = await this.#parts.handOver.announceLeaving();
    if (announced.isErr()) {
      this.#warn("Announcing the stop to some peers failed.", announced.error);
    } else this.#stop.announced(this.#parts.clock.now());
    this.#advance();
  }

  async #releaseEngines(): Promise<void> {
    const released = await this.#parts.handOver.releaseEngines();
    if (released.isErr()) {
      this.#warn("Handing engines over failed.", released.error);
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
