import type { Instant } from "../shared/mod.ts";

/** Something that waits in a fair queue for its turn. */
export interface QueuedWork {
  /** Who shares the service with others: a tenant or a client account. */
  readonly tenant: string;
  /** The service that it takes, in tokens. */
  readonly work: number;
  /** After this time it comes after all others of its tenant. */
  readonly deadline: Instant;
  /** Whether it still waits in the queue that it was added to. */
  readonly isWaiting: boolean;
}
