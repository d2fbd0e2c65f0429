import {
  CONFIGURATION_STREAM,
  copyForSnapshot,
  formatSnapshotManifest,
  type Instant,
  isSnapshotDue,
  type LogOffset,
  nodeId,
  rendezvousOrder,
  SNAPSHOT_SCHEDULE,
  SNAPSHOT_STREAM,
  snapshotChunks,
  type SnapshotManifest,
} from "@foxtailwind/core";
import type { LogClient } from "@foxtailwind/edges";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { VmDirectory } from "../platform/vm_directory.ts";
import type { ConfigurationFollower } from "./configuration_follower.ts";
import { packChunk } from "./snapshot_packing.ts";

const TICK_MILLISECONDS = 1_000;

/** The dependencies of {@link SnapshotWriter}. */
export interface SnapshotWriterParts {
  readonly self: string;
  readonly log: LogClient;
  readonly follower: ConfigurationFollower;
  readonly directory: VmDirectory;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
  readonly schedule?: {
    readonly interval: number;
    readonly records: number;
    readonly grace: number;
  };
}

/** Appends snapshots to the log when it is this node's turn to do so. */
export class SnapshotWriter {
  readonly #parts: SnapshotWriterParts;
  #timer: NodeJS.Timeout | undefined;
  #lastManifest: SnapshotManifest | undefined;
  #lastSeenAt: Instant;
  #isWriting = false;

  /** @param parts The dependencies. */
  constructor(parts: SnapshotWriterParts) {
    this.#parts = parts;
    this.#lastSeenAt = parts.clock.now();
  }

  /** Starts checking periodically whether a snapshot is due. */
  start(): void {
    this.#timer = setInterval(() => void this.tick(), TICK_MILLISECONDS);
  }

  /** Stops checking. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Writes a snapshot if this node is due to write one.
   * @returns Whether a snapshot was written.
   */
  async tick(): Promise<boolean> {
    const { follower, clock } = this.#parts;
    const { reader } = follower.store;
    if (reader.lastManifest !== this.#lastManifest) {
      this.#lastManifest = reader.lastManifest;
      this.#lastSeenAt = clock.now();
    }
    if (this.#isWriting || reader.halt !== undefined) return false;
    if (!follower.caughtUp || reader.configuration.offset < 0) return false;
    if (!this.#isDue()) return false;
    this.#isWriting = true;
    const written = await this.#write();
    this.#isWriting = false;
    return written;
  }

  #isDue(): boolean {
    const { follower, clock, schedule } = this.#parts;
    const { reader } = follower.store;
    return isSnapshotDue({
      now: clock.now(),
      lastSeenAt: this.#lastSeenAt,
      recordsSince: reader.recordsSinceManifest,
      covers: reader.lastManifest?.covers,
      firstKept: follower.logSource.firstKept,
      rank: this.#rank(),
    }, schedule ?? SNAPSHOT_SCHEDULE);
  }

  #rank(): number {
    const { directory, self, follower } = this.#parts;
    const covers = follower.store.reader.lastManifest?.covers ?? -1;
    const ids = directory.live("entry").map((vm) => nodeId(vm.id));
    const order = rendezvousOrder(`configuration_snapshot/${covers}`, ids);
    const rank = order.indexOf(nodeId(self));
    return rank < 0 ? order.length : rank;
  }

  async #write(): Promise<boolean> {
    const { follower, log, logger, clock } = this.#parts;
    const copy = copyForSnapshot(follower.configuration);
    const { covers, digest } = copy;
    const offsets: LogOffset[] = [];
    for (const chunk of snapshotChunks(copy)) {
      const offset = await log.append(SNAPSHOT_STREAM, [packChunk(chunk)]);
      if (offset.isErr()) return this.#reportFailure(offset.error.message);
      offsets.push(offset.value);
    }
    const manifest = formatSnapshotManifest({
      covers,
      digest,
      chunks: offsets,
    });
    const appended = await log.append(CONFIGURATION_STREAM, [manifest]);
    if (appended.isErr()) return this.#reportFailure(appended.error.message);
    this.#lastSeenAt = clock.now();
    logger.info("A snapshot was written.", {
      covers,
      chunks: offsets.length,
    });
    return true;
  }

  /** Chunks already appended do no harm; the next tick starts from scratch. */
  #reportFailure(reason: string): boolean {
    this.#parts.logger.warn("Writing a snapshot failed.", {
      peer: "log",
      reason,
    });
    return false;
  }
}
