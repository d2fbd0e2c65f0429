/** How far the drain of this node is. */
export interface DrainProgress {
  readonly state: "serving" | "draining" | "drained";
  readonly inProgress: number;
}

/** Starts the drain of this node and tells how far it is. */
export abstract class DrainHook {
  /** Starts the drain; a second call changes nothing. */
  abstract start(): void;

  /** Tells how far the drain is. */
  abstract progress(): DrainProgress;
}
