import {
  isDifferentStart,
  type RequestId,
  type StreamOrigin,
  StreamOrigins,
} from "@foxtailwind/core";
import type { SteadyClock } from "../../clock/steady_clock.ts";
import type { Knowledge } from "../knowledge.ts";
import type { SharedLog, StoredOrigin } from "../shared_log.ts";
import type { OriginLookup } from "./stream_directory.ts";

/** The dependencies of {@link StreamArchive}. */
export interface StreamArchiveParts {
  readonly knowledge: Pick<Knowledge, "registry" | "workCounts">;
  readonly log: Pick<SharedLog, "appendStreamOrigins" | "readStreamOrigins">;
  readonly clock: SteadyClock;
}

/** How long origins are collected before they are written together. */
const BATCH_MILLISECONDS = 250;
/** The maximum number of origins that wait for the log. */
const MAXIMUM_BATCH = 4_000;

/**
 * Keeps origins of streams in the log, for when all nodes that know them are
 * lost together. Few nodes write; those that have to resume a stream read.
 */
export class StreamArchive {
  readonly #parts: StreamArchiveParts;
  readonly #read = new StreamOrigins();
  #batch: StoredOrigin[] = [];
  #timer: NodeJS.Timeout | undefined;
  #reading: Promise<void> | undefined;

  /** @param parts The dependencies. */
  constructor(parts: StreamArchiveParts) {
    this.#parts = parts;
  }

  /**
   * Writes an origin with the next batch.
   * @param origin The origin.
   */
  add(origin: StoredOrigin): void {
    if (this.#batch.length < MAXIMUM_BATCH) this.#batch.push(origin);
    this.#schedule();
  }

  /**
   * Finds an origin in the log.
   * @param attempt The caller's attempt that brought the first event.
   * @returns What is known of it.
   */
  async find(attempt: RequestId): Promise<OriginLookup> {
    if (this.#read.find(attempt) === undefined) {
      this.#reading ??= this.#readNew().finally(() => {
        this.#reading = undefined;
      });
      await this.#reading;
    }
    const origin = this.#read.find(attempt);
    if (origin === undefined) return { kind: "unknown" };
    return this.#hasRestarted(origin)
      ? { kind: "uncertain" }
      : { kind: "known", origin };
  }

  /** Stops writing. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  /** Schedules the next write, which follows the one in progress. */
  #schedule(): void {
    this.#timer ??= setTimeout(() => {
      void this.#write();
    }, BATCH_MILLISECONDS);
  }

  async #write(): Promise<void> {
    const { log, knowledge } = this.#parts;
    const batch = this.#batch;
    this.#batch = [];
    knowledge.workCounts.increment("origins_written");
    const result = await log.appendStreamOrigins(batch);
    this.#timer = undefined;
    if (result.isErr()) {
      this.#batch = [...batch, ...this.#batch].slice(-MAXIMUM_BATCH);
    }
    if (this.#batch.length > 0) this.#schedule();
  }

  async #readNew(): Promise<void> {
    const { log, clock, knowledge } = this.#parts;
    knowledge.workCounts.increment("origins_read");
    const result = await log.readStreamOrigins();
    if (result.isErr()) return;
    const now = clock.now();
    for (const origin of result.value) {
      this.#read.add(now, { ...origin, begunAt: now });
    }
  }

  /**
   * Whether the server has started again with other software. It isn't known
   * whether that was before it began the stream, since its answers don't tell.
   */
  #hasRestarted({ server, start, software }: StreamOrigin): boolean {
    const known = this.#parts.knowledge.registry.find(server);
    return known !== undefined && known.software !== software &&
      isDifferentStart(start, known.start);
  }
}
