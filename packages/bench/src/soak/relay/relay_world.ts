import {
  type AdapterId,
  backendServerId,
  milliseconds,
  nodeId,
  type RelayConfiguration,
  serviceId,
} from "@foxtailwind/core";
import type { ClaimRecord, NodeRecord } from "@foxtailwind/node/relay";
import type { StandInServer } from "../../relay/stand_in_server.ts";
import { GRACE_SECONDS, type NodeParts } from "./node_parts.ts";
import { RelayNode } from "./relay_node.ts";
import { RelayRecord } from "./relay_record.ts";
import { SOFTWARE_VERSIONS, WORLD_SIZE, type WorldSize } from "./world_size.ts";
import { ENGINES, PLAIN, soakConfiguration } from "./soak_configuration.ts";
import { SoakEngine } from "./soak_engine.ts";
import { PlainSoakServer, type SoakServer } from "./soak_server.ts";
import { StandInStore, type StoreCopy } from "../../relay/stand_in_store.ts";

/** An engine ends so long after it began to run what crashes it. */
const PART_CRASH_MILLISECONDS = 20;
/** How long the entry of an engine stays that has ended. */
const ENTRY_STAYS_MILLISECONDS = 400;

/** The first version that is set: a time in minutes, above 2^32. */
const LARGE_VERSION = 202_612_041_630;

/** The interval between two copies of the store. */
const COPY_INTERVAL_MILLISECONDS = 100;
/** After this time servers and the operator write again what was lost. */
const REWRITE_MILLISECONDS = 300;

/** A copy of the store, and its time. */
interface StoreCopyAt {
  readonly at: number;
  readonly copy: StoreCopy;
}

/** A store that also tells which nodes have made themselves known. */
class WorldStore extends StandInStore {
  readonly nodes = new Map<string, NodeRecord>();

  override appendNode(node: NodeRecord): void {
    this.nodes.set(node.id, node);
    super.appendNode(node);
  }
}

/** Nodes, servers and the store of one run. */
export class RelayWorld {
  readonly record = new RelayRecord();
  readonly store = new WorldStore();
  readonly engines = new Map<string, SoakEngine>();
  /** The servers that are there and stay. */
  readonly servers: SoakServer[] = [];
  /** One node in each place; another run of it after a stop. */
  readonly nodes: RelayNode[] = [];
  /** When servers said that they leave. */
  readonly leftAt = new Map<string, number>();
  /** When the newest version of an adapter was named. */
  readonly namedAt = new Map<AdapterId, number>();
  /** Whether the route that moves is there, and since when. */
  extraRoute = { isThere: true, since: performance.now() };
  readonly #seed: number;
  readonly #made: NodeParts;
  readonly #size: WorldSize;
  readonly #memoryAdapters: number;
  readonly #addresses = new Map<string, string>();
  readonly #ending = new Set<Promise<void>>();
  readonly #allServers: SoakServer[] = [];
  /** Servers that have said that they leave, and have not ended. */
  readonly #leavingServers = new Set<SoakServer>();
  readonly #copies: StoreCopyAt[] = [];
  #copyTimer: NodeJS.Timeout | undefined;
  #isOver = false;
  #version = 1;
  #releases = 0;
  #runs = 0;

  /**
   * @param seed Decides what servers do.
   * @param made What nodes are made of.
   * @param size How many nodes and servers there are.
   */
  constructor(seed: number, made: NodeParts, size: WorldSize = WORLD_SIZE) {
    this.#seed = seed;
    this.#made = made;
    this.#size = size;
    // In every other run, memory binds before slots do.
    this.#memoryAdapters = seed % 2 === 1
      ? WORLD_SIZE.slots - 1
      : 2 * WORLD_SIZE.slots;
    this.store.configure(this.#configuration());
  }

  /** Starts servers and nodes. */
  async start(): Promise<void> {
    this.#copyTimer = setInterval(() => {
      this.#copies.push({ at: performance.now(), copy: this.store.copy() });
    }, COPY_INTERVAL_MILLISECONDS);
    for (let index = 0; index < this.#size.engines; index += 1) {
      await this.#startServer(true);
    }
    for (let index = 0; index < this.#size.plainServers; index += 1) {
      await this.#startServer(false);
    }
    for (let place = 0; place < this.#size.nodes; place += 1) {
      await this.#startNode(place);
    }
  }

  /**
   * Stops a node as planned, and starts it anew once it has ended.
   * @param place Its place.
   */
  stopNode(place: number): void {
    const node = this.nodes[place];
    if (node?.isUp !== true) return;
    this.#follow(async () => {
      await node.stop(GRACE_SECONDS * 1_000);
      await this.#startNode(place);
    });
  }

  /**
   * Cuts a node off at once, and starts it anew.
   * @param place Its place.
   */
  cutNode(place: number): void {
    const node = this.nodes[place];
    if (node?.isUp !== true) return;
    this.#follow(() => node.cut());
    this.#follow(() => this.#startNode(place));
  }

  /**
   * Cuts a node off from all servers that are there.
   * @param place Its place.
   * @param lasts How long, in milliseconds.
   */
  loseServers(place: number, lasts: number): void {
    const node = this.nodes[place];
    if (node?.isUp !== true) return;
    const ports = [...this.#addresses.values()]
      .map((address) => Number(address.split(":").at(-1)));
    node.loseServers(new Set(ports));
    setTimeout(() => {
      node.regainServers();
    }, lasts);
  }

  /**
   * Cuts a node off from its peers, in both directions.
   * @param place Its place.
   * @param lasts How long, in milliseconds.
   */
  losePeers(place: number, lasts: number): void {
    const node = this.nodes[place];
    if (node?.isUp !== true) return;
    const own = this.#peerPortOf(node);
    const others = this.nodes.filter((one) => one !== node);
    node.losePeers(new Set(others.map((one) => this.#peerPortOf(one))));
    for (const other of others) other.losePeers(new Set([own]));
    setTimeout(() => {
      for (const one of [node, ...others]) one.regainPeers();
    }, lasts);
  }

  /**
   * Lets a node reach the store, or not.
   * @param node The node.
   * @param isReachable Whether it does.
   */
  setReachable(node: RelayNode, isReachable: boolean): void {
    if (node.record.cutAt !== undefined) return;
    node.log.isReachable = isReachable;
    const { outages } = node.record;
    if (!isReachable) outages.push({ from: performance.now() });
    else {
      for (const outage of outages) outage.to ??= performance.now();
    }
  }

  /**
   * Lets a server announce its departure in its answers, before the store
   * knows of it.
   * @param server The server.
   * @param untold How long the store isn't told, in milliseconds.
   * @param stays How long it stays afterwards, in milliseconds.
   */
  announceDeparture(server: SoakServer, untold: number, stays: number): void {
    server.isLeaving = true;
    const { start } = server;
    setTimeout(() => {
      const isSame = server.start === start && this.servers.includes(server);
      if (isSame && !this.#isOver) this.leave(server, stays);
    }, untold);
  }

  /**
   * Lets a server say that it leaves, and another come; later it ends.
   * @param server The server.
   * @param stays How long it stays until it ends, in milliseconds.
   * @param software The software of the one that comes.
   */
  leave(server: SoakServer, stays: number, software = server.software): void {
    this.#forget(server);
    server.isLeaving = true;
    this.leftAt.set(server.id, performance.now());
    this.store.register({ ...this.#entryOf(server), leaving: true });
    this.#leavingServers.add(server);
    setTimeout(() => {
      this.#leavingServers.delete(server);
      this.store.unregister(server.id);
    }, stays);
    this.#replace(server, software);
  }

  /**
   * Releases the next software: some engines leave, and others that run it come
   * in their place.
   * @param count How many engines.
   * @param pause Between two of them, in milliseconds.
   * @param stays How long an engine stays that leaves, in milliseconds.
   */
  release(count: number, pause: number, stays: number): void {
    const software = this.#nextSoftware();
    const engines = this.servers.filter((one) => one instanceof SoakEngine);
    for (const [index, engine] of engines.slice(0, count).entries()) {
      setTimeout(() => {
        if (this.#isOver || !this.servers.includes(engine)) return;
        this.leave(engine, stays, software);
      }, index * pause);
    }
  }

  /**
   * Starts a server again under its id with the next software.
   * @param server The server.
   * @param unread After how long its first entry is there, in milliseconds.
   */
  upgrade(server: SoakServer, unread: number): void {
    this.restart(server, unread, this.#nextSoftware());
  }

  /**
   * Ends a server at once; its entry stays a while, and another comes.
   * @param server The server.
   * @param entryStays How long its entry stays, in milliseconds.
   */
  crash(server: SoakServer, entryStays: number): void {
    this.#forget(server);
    server.crash();
    this.engines.delete(server.id);
    setTimeout(() => {
      this.store.unregister(server.id);
    }, entryStays);
    this.#replace(server, server.software);
  }

  /**
   * Starts a server again under its id.
   * @param server The server.
   * @param unread After how long its first entry is there, in milliseconds.
   * @param software The new version of its software, if it is another one.
   */
  restart(server: SoakServer, unread: number, software?: string): void {
    server.restart(software);
    this.#endServing(server);
    setTimeout(() => {
      if (!this.servers.includes(server)) return;
      this.store.register({ ...this.#entryOf(server), isEmpty: true });
      this.#beginServing(server);
    }, unread);
  }

  /**
   * Takes entries out of the registry, and puts them back.
   * @param lasts After how long, in milliseconds.
   */
  forgetServers(lasts: number): void {
    const there = [...this.servers];
    for (const server of there) this.store.unregister(server.id);
    setTimeout(() => {
      for (const server of there) {
        if (!this.servers.includes(server)) continue;
        this.store.register(this.#entryOf(server));
      }
    }, lasts);
  }

  /**
   * Returns the store to an older copy. Servers and the operator write again what
   * they wrote; what nodes wrote is gone.
   * @param age How old the copy is, in milliseconds.
   */
  returnStore(age: number): void {
    const newest = performance.now() - age;
    const copy = this.#copies.findLast(({ at }) => at <= newest)?.copy ??
      this.#copies[0]?.copy;
    if (copy === undefined) return;
    this.store.restore(copy);
    setTimeout(() => {
      if (!this.#isOver) this.#writeAgain(copy);
    }, REWRITE_MILLISECONDS);
  }

  /**
   * Puts a claim of a node in the log, ahead of the node itself.
   * @param engine The engine.
   * @param place The node's place.
   */
  claimFor(engine: SoakServer, place: number): void {
    const node = this.nodes[place];
    const known = node && this.store.nodes.get(node.id);
    if (node?.isUp !== true || known === undefined) return;
    const claim: ClaimRecord = {
      engine: backendServerId(engine.id),
      owner: nodeId(known.id),
      incarnation: known.incarnation,
      wait: milliseconds(0),
    };
    this.store.appendClaims([claim]);
  }

  /**
   * Names a newer version of an adapter.
   * @param adapter The adapter.
   */
  nameVersion(adapter: AdapterId): void {
    const newest = this.store.newestVersion(adapter);
    this.store.setVersion(adapter, Math.max(LARGE_VERSION, newest + 1));
    this.namedAt.set(adapter, performance.now());
  }

  /** Adds the route that moves, or takes it away. */
  moveRoute(): void {
    this.#version += 1;
    const isThere = !this.extraRoute.isThere;
    this.extraRoute = { isThere, since: performance.now() };
    this.store.configure(this.#configuration());
  }

  /** Writes a record that names no server to use. */
  writeForeignRecord(): void {
    this.store.register({
      id: `stranger-${this.#runs}`,
      service: serviceId("nowhere"),
      address: "nothing at all",
    });
    this.store.unregister(`never-there-${this.#runs}`);
  }

  /** Stops all nodes at once, and ends everything. */
  async stop(): Promise<void> {
    this.#isOver = true;
    clearInterval(this.#copyTimer);
    for (const node of this.nodes) this.setReachable(node, true);
    for (let place = 0; place < this.nodes.length; place += 1) {
      this.stopNode(place);
    }
    while (this.#ending.size > 0) await Promise.all(this.#ending);
    for (const server of this.#allServers) server.crash();
  }

  #follow(run: () => Promise<void>): void {
    const ending = run().catch((error: unknown) => {
      this.record.breaks("no_exception", String(error));
    }).finally(() => {
      this.#ending.delete(ending);
    });
    this.#ending.add(ending);
  }

  #writeAgain({ servers }: StoreCopy): void {
    this.store.configure(this.#configuration());
    for (const server of this.servers) {
      this.store.register(this.#entryOf(server));
    }
    for (const server of this.#leavingServers) {
      this.store.register({ ...this.#entryOf(server), leaving: true });
    }
    const present = new Set(
      [...this.servers, ...this.#leavingServers].map(({ id }) => id),
    );
    for (const [id] of servers) {
      if (!present.has(id)) this.store.unregister(id);
    }
  }

  #configuration(): RelayConfiguration {
    return soakConfiguration(
      this.#version,
      this.extraRoute.isThere,
      this.#memoryAdapters,
    );
  }

  #peerPortOf(node: RelayNode): number {
    const address = this.store.nodes.get(node.id)?.address;
    return Number(address?.split(":").at(-1));
  }

  #hasEnded(): boolean {
    return this.#isOver;
  }

  async #startNode(place: number): Promise<void> {
    if (this.#hasEnded()) return;
    this.#runs += 1;
    const node = new RelayNode(`node-${place + 1}`, this.#runs, {
      seed: this.#seed,
      store: this.store,
      engines: this.engines,
      made: this.#made,
    });
    this.record.nodeStarts += 1;
    this.record.nodeRuns.set(node.record.name, node.record);
    await node.start();
    this.nodes[place] = node;
    // A stop of all nodes that came meanwhile did not see this one.
    if (this.#hasEnded()) this.stopNode(place);
  }

  /** The last version is released again if there is no further one. */
  #nextSoftware(): string {
    this.#releases += 1;
    return SOFTWARE_VERSIONS[this.#releases] ?? SOFTWARE_VERSIONS[0];
  }

  #beginServing({ id, service, software }: SoakServer): void {
    const from = performance.now();
    this.record.servingTimes.push({ server: id, service, software, from });
  }

  #endServing({ id }: SoakServer): void {
    for (const time of this.record.servingTimes) {
      if (time.server === id) time.to ??= performance.now();
    }
  }

  async #startServer(
    isEngine: boolean,
    software: string = SOFTWARE_VERSIONS[0],
  ): Promise<void> {
    const number = this.#allServers.length + 1;
    const parts = { seed: this.#seed, record: this.record, software };
    const server = isEngine
      ? new SoakEngine(`engine-${number}`, ENGINES, {
        ...parts,
        slots: WORLD_SIZE.slots,
        memoryAdapters: this.#memoryAdapters,
        newestVersion: (adapter) => this.store.newestVersion(adapter),
        findClaim: (position) => this.store.findClaim(position),
        onCrashingPart: (engine) => {
          setTimeout(() => {
            this.#crashByPart(engine);
          }, PART_CRASH_MILLISECONDS);
        },
      })
      : new PlainSoakServer(`plain-${number}`, PLAIN, parts);
    this.#allServers.push(server);
    this.#addresses.set(server.id, await server.listen());
    if (server instanceof SoakEngine) this.engines.set(server.id, server);
    this.servers.push(server);
    this.store.register(this.#entryOf(server));
    this.#beginServing(server);
  }

  #replace(server: SoakServer, software: string): void {
    this.#follow(() =>
      this.#startServer(server instanceof SoakEngine, software)
    );
  }

  #crashByPart(engine: SoakEngine): void {
    if (!this.servers.includes(engine)) return;
    this.record.partCrashes.push(performance.now());
    this.crash(engine, ENTRY_STAYS_MILLISECONDS);
  }

  #forget(server: SoakServer): void {
    this.#endServing(server);
    this.servers.splice(this.servers.indexOf(server), 1);
  }

  #entryOf(server: SoakServer): StandInServer {
    return {
      id: server.id,
      start: server.start,
      software: server.software,
      service: serviceId(server.service),
      address: this.#addresses.get(server.id) ?? "",
      isEngine: server instanceof SoakEngine,
    };
  }
}
