import { Controller, Get, HttpCode, Inject, Post } from "@nestjs/common";
import { DaemonParts } from "../daemon_parts.ts";

const ACCEPTED = 202;
/** The question itself is a request in progress too. */
const THIS_REQUEST = 1;

/** How far the drain of this node is. */
interface DrainProgress {
  readonly node: string;
  readonly state: "serving" | "draining" | "drained";
  readonly in_progress: number;
}

/** Drains this node for operators. */
@Controller("v1/operators/drain")
export class DrainController {
  readonly #parts: DaemonParts;
  #isDrained = false;
  #isFollowed = false;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Starts the drain; a second call changes nothing. */
  @Post()
  @HttpCode(ACCEPTED)
  start(): DrainProgress {
    this.#follow();
    return this.progress();
  }

  /** Tells how far the drain is. */
  @Get()
  progress(): DrainProgress {
    const { drain, work, settings } = this.#parts;
    if (drain.isLeaving) this.#follow();
    const state = drain.isLeaving ? "draining" : "serving";
    return {
      node: settings.node.id,
      state: this.#isDrained ? "drained" : state,
      in_progress: Math.max(0, work.count - THIS_REQUEST),
    };
  }

  #follow(): void {
    if (this.#isFollowed) return;
    this.#isFollowed = true;
    void this.#parts.drain.run().then(() => {
      this.#isDrained = true;
    });
  }
}
