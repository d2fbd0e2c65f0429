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
import type { PartLogger } from "../logging/part_logger.ts";
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
/** Beyond this, a peer's records are not trusted to be the latest. */
const MAXIMUM_PEER_DATA_AGE = milliseconds(3_000);
const LOG_NAME = "log";

/** What a follower works with. */
export interface FollowerParts {
  readonly self: DistributionNode;
  readonly log: LogClient;
  readonly directory: VmDirectory;
  readonly channels: PeerChannels;
  readonly clock: SteadyClock;
  readonly logger: PartLogger;
}

/**
 * Keeps the configuration in force: from the peer that the spread tree names,
 * from the log where this node reads it for its failure domain or no peer has
 * the latest, and from any peer while the log does not answer.
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

  /** @param parts What it works with. */
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

  /** How many records could not be read. */
  get corruptRecords(): number {
    return this.store.reader.corruptRecords;
  }

  /** Whether the log's tail was reached once, here or at a peer. */
  get caughtUp(): boolean {
    return this.store.caughtUp;
  }

  /** Where records come from at present: `log`, or a peer's id. */
  get source(): string {
    return this.#source;
  }

  /** Tells peers and operators what is in force here. */
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

  /** Follows until {@link stop}. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      if (this.store.reader.halt !== undefined) {
        // Whoever passed the record on, the log has it, and nobody is followed.
        this.#source = LOG_NAME;
        await sleep(HALTED_POLL_MILLISECONDS, undefined, { ref: false });
        continue;
      }
      const place = this.#currentPosition();
      const peer = this.#choosePeer(place);
      if (peer === undefined) await this.#readLog();
      else await this.#followPeer(peer, place);
    }
  }

  /**
   * Reads the log once, besides what {@link run} does.
   * @param waitMilliseconds How long to wait at the tail.
   * @returns Whether the log answered.
   */
  readOnce(waitMilliseconds: number): Promise<boolean> {
    return this.logSource.readOnce(waitMilliseconds);
  }

  /** Ends {@link run} after the read in progress. */
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

  #choosePeer(place: DistributionPosition): string | undefined {
    if (this.#logFailures > 0) return this.#peerDuringOutage(place);
    const paused = this.#parts.clock.now() < this.#parentPausedUntil;
    return paused ? undefined : place.parent;
  }

  #peerDuringOutage(place: DistributionPosition): string | undefined {
    const peers = place.parent === undefined
      ? place.fallbackPeers
      : [place.parent, ...place.fallbackPeers];
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

  async #followPeer(peer: string, place: DistributionPosition): Promise<void> {
    const address = this.#parts.directory.live("entry")
      .find((vm) => vm.id === peer)?.peerAddress;
    if (address !== undefined) {
      this.#source = peer;
      await this.#peerSource.follow(
        address,
        (since) => this.#shouldKeepFollowing(since, place),
      );
    }
    await this.#handleFollowEnd();
  }

  #shouldKeepFollowing(since: Instant, place: DistributionPosition): boolean {
    const { clock } = this.#parts;
    if (elapsed(since, clock.now()) < MINIMUM_FOLLOW_DURATION) return true;
    if (this.store.age() > MAXIMUM_PEER_DATA_AGE) return false;
    const current = this.#currentPosition();
    return !current.readsLog && current.parent === place.parent;
  }

  /** The log is asked next; the parent again after a while. */
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
