import type { SharedLogListener } from "@foxtailwind/node/relay";
import { LoggerFactory, type RelayDaemon } from "@foxtailwind/node/relay";
import { setTimeout as sleep } from "node:timers/promises";
import type { StandInStore } from "../../relay/stand_in_store.ts";
import { StandInOperations } from "../../relay/stand_in_wire.ts";
import { Draws } from "./draws.ts";
import { type NodeParts, settingsOf, type SoakControl } from "./node_parts.ts";
import { NodeSockets } from "./node_sockets.ts";
import type { NodeRunRecord } from "./relay_record.ts";
import type { SoakEngine } from "./soak_engine.ts";
import { SenderWire } from "./sender_wire.ts";
import { SoakLog } from "./soak_store.ts";

/** Beyond its grace, a stopping node is ended by force after these. */
const LOOKS_BEFORE_FORCE = 4;
const LOOK_MILLISECONDS = 100;

/** What a node of a soak runs on. */
export interface RelayNodeParts {
  readonly seed: number;
  readonly store: StandInStore;
  readonly engines: ReadonlyMap<string, SoakEngine>;
  readonly made: NodeParts;
}

/** Pauses after a time, one by one: a stall can't take them all at once. */
async function sleepOn(milliseconds: number): Promise<void> {
  await sleep(milliseconds);
  for (let look = 0; look < LOOKS_BEFORE_FORCE; look += 1) {
    await sleep(LOOK_MILLISECONDS);
  }
}

/** A log whose news may be spoilt on their way to the node. */
class NodeLog extends SoakLog {
  readonly #made: NodeParts;

  constructor(store: StandInStore, made: NodeParts) {
    super(store);
    this.#made = made;
  }

  override start(listener: SharedLogListener): void {
    super.start(this.#made.listener(listener));
  }
}

/** One run of a node's process, as far as one process can have several. */
export class RelayNode {
  readonly id: string;
  readonly log: SoakLog;
  readonly daemon: RelayDaemon;
  readonly record: NodeRunRecord;
  readonly #control: SoakControl;
  readonly #sockets = new NodeSockets();
  #lostServers: ReadonlySet<number> = new Set();
  #lostPeers: ReadonlySet<number> = new Set();

  /**
   * @param id The node.
   * @param run Counts its starts.
   * @param parts What it runs on.
   */
  constructor(id: string, run: number, parts: RelayNodeParts) {
    const { made, store, engines, seed } = parts;
    this.id = id;
    this.record = {
      name: `${id}#${run}`,
      startedAt: performance.now(),
      lines: [],
      outages: [],
      lostServersAt: [],
      lostPeersAt: [],
    };
    this.log = new NodeLog(store, made);
    const delays = new Draws(seed, `orders of ${this.record.name}`);
    this.#control = made.control(engines, delays);
    const settings = settingsOf(made, id);
    const loggers = new LoggerFactory("json", 3, (line) => {
      this.record.lines.push(line);
    });
    this.daemon = this.#sockets.run(() =>
      made.daemon(settings, {
        log: this.log,
        wire: new SenderWire(made.wire(), this.record.name),
        control: this.#control,
        operations: new StandInOperations(),
      }, loggers)
    );
  }

  /** Whether it takes callers, as far as its stops tell. */
  get isUp(): boolean {
    return this.record.cutAt === undefined &&
      this.record.stoppedAt === undefined;
  }

  /** Starts it. */
  async start(): Promise<void> {
    await this.#sockets.run(() => this.daemon.start());
  }

  /**
   * Stops it as planned; cut off where it takes longer than it may.
   * @param longest How long it may take, in milliseconds.
   */
  async stop(longest: number): Promise<void> {
    this.record.stoppedAt = performance.now();
    const ended = this.#sockets.run(() => this.daemon.stop());
    await Promise.race([ended, sleepOn(longest)]);
    this.#sever();
    await ended;
  }

  /** Cuts it off at once; what is left of it ends later, unheard. */
  async cut(): Promise<void> {
    this.record.cutAt = performance.now();
    this.#sever();
    await this.#sockets.run(() => this.daemon.stop());
  }

  /**
   * Resets the connections to servers, and refuses new ones.
   * @param ports The ports of the servers.
   */
  loseServers(ports: ReadonlySet<number>): void {
    this.record.lostServersAt.push(performance.now());
    this.#control.isCut = true;
    this.#lostServers = ports;
    this.#refuseLost();
  }

  /**
   * Resets the connections to peers, and refuses new ones.
   * @param ports The ports of the peers.
   */
  losePeers(ports: ReadonlySet<number>): void {
    if (ports.size > 1) this.record.lostPeersAt.push(performance.now());
    this.#lostPeers = ports;
    this.#refuseLost();
  }

  /** Reaches peers again. */
  regainPeers(): void {
    this.#lostPeers = new Set();
    this.#refuseLost();
  }

  /** Reaches servers again, unless it is cut off altogether. */
  regainServers(): void {
    if (this.record.cutAt !== undefined) return;
    this.#control.isCut = false;
    this.#lostServers = new Set();
    this.#refuseLost();
  }

  #refuseLost(): void {
    this.#sockets.refuse(new Set([...this.#lostServers, ...this.#lostPeers]));
  }

  #sever(): void {
    this.log.isReachable = false;
    this.#control.isCut = true;
    this.#sockets.cut();
  }
}
