import { DrainHook, type DrainProgress } from "../operators/drain_hook.ts";
import type { Drain } from "./drain.ts";
import type { WorkInProgress } from "./work_in_progress.ts";

/** Drains this node for an operator, who then ends the process. */
export class DrainOperation extends DrainHook {
  readonly #drain: Drain;
  readonly #work: WorkInProgress;

  /**
   * @param drain The node's planned stop.
   * @param work The requests in progress.
   */
  constructor(drain: Drain, work: WorkInProgress) {
    super();
    this.#drain = drain;
    this.#work = work;
  }

  override start(): void {
    void this.#drain.run();
  }

  override progress(): DrainProgress {
    return { state: this.#state(), inProgress: this.#work.count };
  }

  #state(): DrainProgress["state"] {
    switch (this.#drain.phase) {
      case "serving":
        return "serving";
      case "leaving":
      case "finishing":
        return "draining";
      case "stopped":
        return "drained";
    }
  }
}
