import { Controller, Get, HttpCode, Inject, Post } from "@nestjs/common";
import { DaemonParts } from "../daemon_parts.ts";

const ACCEPTED = 202;
/** The status request itself counts as a request in progress. */
const THIS_REQUEST = 1;

/** The drain state of this node. */
interface DrainProgress {
  readonly node: string;
  readonly state: "serving" | "draining" | "drained";
  readonly in_progress: number;
}

/** Starts the drain of this node and reports its progress. */
@Controller("v1/operators/drain")
export class DrainController {
  readonly #parts: DaemonParts;
  #isDrained = false;
  #isStarted = false;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Starts the drain; idempotent. */
  @Post()
  @HttpCode(ACCEPTED)
  start(): DrainProgress {
    this.#startDrain();
    return this.progress();
  }

  /** Returns the drain's progress. */
  @Get()
  progress(): DrainProgress {
    const { drain, work, settings } = this.#parts;
    if (drain.isLeaving) this.#startDrain();
    const state = drain.isLeaving ? "draining" : "serving";
    return {
      node: settings.node.id,
      state: this.#isDrained ? "drained" : state,
      in_progress: Math.max(0, work.count - THIS_REQUEST),
    };
  }

  #startDrain(): void {
    if (this.#isStarted) return;
    this.#isStarted = true;
    void this.#parts.drain.run().then(() => {
      this.#isDrained = true;
    });
  }
}
