import {
  type Configuration,
  type DistributionNode,
  type DistributionPosition,
  distributionPosition,
  elapsed,
  type Instant,
  instant,
  later,
  milliseconds,
  nodeId,
} from "@foxtailwind/core";
import type { LogClient } from "@foxtailwind/edges";
import type { StatusAnswer } from "@foxtailwind/protocol";
import { setTimeout as sleep } from "node:timers/promises";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { VmDirectory } from "../platform/vm_directory.ts";
import { ConfigurationStore } from "./configuration_store.ts";
import { LogSource } from "./log_source.ts";
import { PeerSource } from "./peer_source.ts";

const LONG_POLL_MILLISECONDS = 500;
const RETRY_MILLISECONDS = 100;
const HALTED_POLL_MILLISECONDS = 500;
const LOG_READ_GRACE_MILLISECONDS = 1_000;
const MINIMUM_FOLLOW_DURATION = milliseconds(1_000);
const PARENT_RETRY_DELAY = milliseconds(2_000);
/** A peer's records that are older than this may not be the latest. */
const MAXIMUM_PEER_DATA_AGE = milliseconds(3_000);
const LOG_NAME = "log";

/** The dependencies of {@link ConfigurationFollower}. */
export interface FollowerParts {
  readonly self: DistributionNode;
  readonly log: LogClient;
  readonly directory: VmDirectory;
  readonly channels: PeerChannels;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
}

/**
 * Keeps the configuration of this node up to date: from its parent in the
 * distribution tree; from the log if this node reads it for its failure domain
 * or no peer has the latest records; from any peer while the log is down.
 */
export class ConfigurationFollower {
  readonly store: ConfigurationStore;
  readonly logSource: LogSource;
  readonly #parts: FollowerParts;
  readonly #peerSource: PeerSource;
  #source = LOG_NAME;
  #parentPausedUntil = instant(0);
  #logFailures = 0;
  #logRead: Promise<boolean> | undefined;
  #stopped = false;

  /** @param parts The dependencies. */
  constructor(parts: FollowerParts) {
    const { clock, logger } = parts;
    this.#parts = parts;
    this.store = new ConfigurationStore(clock, logger);
    this.logSource = new LogSource(parts.log, { store: this.store, logger });
    this.#peerSource = new PeerSource(parts.channels, {
      store: this.store,
      clock,
    });
  }

  /** The configuration in force. */
  get configuration(): Configuration {
    return this.store.reader.configuration;
  }

  /** The number of records that could not be parsed. */
  get corruptRecords(): number {
    return this.store.reader.corruptRecords;
  }

  /** Whether the log's tail was reached at least once, here or by a peer. */
  get caughtUp(): boolean {
    return this.store.caughtUp;
  }

  /** The current source of records: `log`, or a peer's id. */
  get source(): string {
    return this.#source;
  }

  /** Returns the configuration status for peers and operators. */
  status(): StatusAnswer {
    const { reader } = this.store;
    const { halt } = reader;
    return {
      node: this.#parts.self.id,
      offset: reader.configuration.offset,
      digest: reader.configuration.digest,
      corruptRecords: reader.corruptRecords,
      mismatchedSnapshots: reader.mismatchedSnapshots,
      halted: halt === undefined
        ? ""
        : `record ${halt.offset} has format ${halt.format}, this release ` +
          `reads up to ${halt.newestFormat}: replace the node's release`,
      source: this.#source,
      ageMilliseconds: this.store.age(),
    };
  }

  /** Follows the configuration until {@link stop}. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      if (this.store.reader.halt !== undefined) {
        // No peer is followed: the log has the record, whoever sent it.
        this.#source = LOG_NAME;
        await sleep(HALTED_POLL_MILLISECONDS, undefined, { ref: false });
        continue;
      }
      const position = this.#currentPosition();
      const peer = this.#choosePeer(position);
      if (peer === undefined) await this.#readLog();
      else await this.#followPeer(peer, position);
    }
  }

  /**
   * Reads the log once, independently of {@link run}.
   * @param waitMilliseconds How long to wait at the tail.
   * @returns Whether the log answered.
   */
  readOnce(waitMilliseconds: number): Promise<boolean> {
    return this.logSource.readOnce(waitMilliseconds);
  }

  /** Stops {@link run} after the read in progress. */
  stop(): void {
    this.#stopped = true;
    this.#peerSource.stop();
  }

  #currentPosition(): DistributionPosition {
    const nodes = this.#parts.directory.live("entry").map((
      vm,
    ): DistributionNode => ({
      id: nodeId(vm.id),
      failureDomain: vm.failureDomain,
    }));
    return distributionPosition(this.#parts.self, nodes);
  }

  #choosePeer(position: DistributionPosition): string | undefined {
    if (this.#logFailures > 0) return this.#peerDuringOutage(position);
    const isParentPaused = this.#parts.clock.now() < this.#parentPausedUntil;
    return isParentPaused ? undefined : position.parent;
  }

  #peerDuringOutage(position: DistributionPosition): string | undefined {
    const peers = position.parent === undefined
      ? position.fallbackPeers
      : [position.parent, ...position.fallbackPeers];
    return peers[(this.#logFailures - 1) % Math.max(1, peers.length)];
  }

  async #readLog(): Promise<void> {
    this.#source = LOG_NAME;
    this.#logRead ??= this.#startLogRead();
    const answered = await Promise.race([
      this.#logRead,
      sleep(LONG_POLL_MILLISECONDS + LOG_READ_GRACE_MILLISECONDS, false, {
        ref: false,
      }),
    ]);
    if (answered) {
      this.#logFailures = 0;
      return;
    }
    this.#logFailures += 1;
    await sleep(RETRY_MILLISECONDS);
  }

  async #startLogRead(): Promise<boolean> {
    const answered = await this.readOnce(LONG_POLL_MILLISECONDS);
    this.#logRead = undefined;
    return answered;
  }

  async #followPeer(
    peer: string,
    position: DistributionPosition,
  ): Promise<void> {
    const address = this.#parts.directory.live("entry")
      .find((vm) => vm.id === peer)?.peerAddress;
    if (address !== undefined) {
      this.#source = peer;
      await this.#peerSource.follow(
        address,
        (since) => this.#shouldKeepFollowing(since, position),
      );
    }
    await this.#handleFollowEnd();
  }

  #shouldKeepFollowing(
    since: Instant,
    position: DistributionPosition,
  ): boolean {
    const { clock } = this.#parts;
    if (elapsed(since, clock.now()) < MINIMUM_FOLLOW_DURATION) return true;
    if (this.store.age() > MAXIMUM_PEER_DATA_AGE) return false;
    const current = this.#currentPosition();
    return !current.readsLog && current.parent === position.parent;
  }

  /** Lets the log be read next, and the parent be followed after a delay. */
  async #handleFollowEnd(): Promise<void> {
    this.#parentPausedUntil = later(
      this.#parts.clock.now(),
      PARENT_RETRY_DELAY,
    );
    if (this.#logFailures === 0) return;
    this.#logFailures += 1;
    this.#logRead ??= this.#startLogRead();
    void this.#logRead.then((answered) => {
      if (answered) this.#logFailures = 0;
    });
    await sleep(RETRY_MILLISECONDS);
  }
}
