import {
  backendServerId,
  type CrashSuspicion,
  type Failure,
  logOffset,
  type RegisteredServer,
  type RelayConfiguration,
  suspectedRunKey,
} from "@foxtailwind/core";
import {
  type ClaimRecord,
  type NodeRecord,
  SharedLog,
  type SharedLogListener,
  type SuspicionChange,
} from "@foxtailwind/node/relay";
import { type StandInServer, standInServer } from "./stand_in_server.ts";
import { err, ok, type Result } from "neverthrow";

const FAILURE: Failure = {
  reason: "unavailable",
  step: "read_log",
  peer: "store",
  message: "The stand-in of the store is down.",
  outcome: "not_run",
};

/** Tells a node something that the store holds. */
type News = (listener: SharedLogListener) => void;

/** What the platform's store holds, for all nodes of one process. */
export class StandInStore {
  readonly #logs = new Set<StandInLog>();
  readonly #servers = new Map<string, RegisteredServer>();
  readonly #claims: ClaimRecord[] = [];
  readonly #nodes: NodeRecord[] = [];
  readonly #suspicions = new Map<string, CrashSuspicion>();
  #configuration: RelayConfiguration | undefined;
  #registryEnd = 0;
  #operatorsEnd = 0;
  /** Whether calls are answered, and what changes is told. */
  isUp = true;

  /** The claims, in their order. */
  get claims(): readonly ClaimRecord[] {
    return this.#claims;
  }

  /**
   * Names a configuration.
   * @param configuration The whole configuration.
   */
  configure(configuration: RelayConfiguration): void {
    this.#configuration = configuration;
    this.#operatorsEnd += 1;
    const end = logOffset(this.#operatorsEnd);
    this.#publish((listener) => {
      listener.configuration(configuration);
      listener.operatorsTold(end);
    });
  }

  /**
   * Adds a server to the registry, or changes its entry.
   * @param server The server.
   */
  register(server: StandInServer): void {
    const entry = standInServer(server);
    this.#servers.set(server.id, entry);
    this.#registryEnd += 1;
    const offset = logOffset(this.#registryEnd);
    this.#publish((listener) => {
      listener.registryEntry({ kind: "present", offset, server: entry });
    });
  }

  /**
   * Takes a server out of the registry.
   * @param id The server's id.
   */
  unregister(id: string): void {
    this.#servers.delete(id);
    this.#registryEnd += 1;
    const offset = logOffset(this.#registryEnd);
    this.#publish((listener) => {
      listener.registryEntry({
        kind: "gone",
        offset,
        id: backendServerId(id),
      });
    });
  }

  /**
   * Adds claims. Nodes hear of each one at once, so that none claims without
   * knowing the ones before.
   * @param claims The claims.
   */
  appendClaims(claims: readonly ClaimRecord[]): void {
    for (const claim of claims) {
      this.#claims.push(claim);
      const offset = logOffset(this.#claims.length - 1);
      this.#publish((listener) => {
        listener.claim(claim, offset);
      });
    }
  }

  /**
   * Makes a node known.
   * @param node The node.
   */
  appendNode(node: NodeRecord): void {
    this.#nodes.push(node);
    this.#publish((listener) => {
      listener.node(node);
    });
  }

  /**
   * Adds and drops suspicions.
   * @param changes The changes.
   */
  changeSuspicions(changes: readonly SuspicionChange[]): void {
    for (const change of changes) {
      const about = change.kind === "added" ? change.suspicion : change.key;
      const key = `${about.content} ${suspectedRunKey(about)}`;
      if (change.kind === "added") this.#suspicions.set(key, change.suspicion);
      else this.#suspicions.delete(key);
      this.#publish((listener) => {
        listener.suspicion(change);
      });
    }
  }

  /**
   * Tells a node all that is there, and what comes from now on.
   * @param log The node's log.
   * @param listener Takes it.
   */
  attach(log: StandInLog, listener: SharedLogListener): void {
    this.#logs.add(log);
    if (this.#configuration !== undefined) {
      listener.configuration(this.#configuration);
    }
    listener.operatorsTold(logOffset(this.#operatorsEnd));
    const offset = logOffset(this.#registryEnd);
    const entries = [...this.#servers.values()].map((server) =>
      ({ kind: "present", offset, server }) as const
    );
    listener.registryListed(entries, offset);
    for (const [index, claim] of this.#claims.entries()) {
      listener.claim(claim, logOffset(index));
    }
    for (const node of this.#nodes) listener.node(node);
    listener.suspicionsListed([...this.#suspicions.values()]);
  }

  /**
   * Tells a node no more.
   * @param log The node's log.
   */
  detach(log: StandInLog): void {
    this.#logs.delete(log);
  }

  #publish(tell: News): void {
    for (const log of this.#logs) log.deliver(tell);
  }
}

/** Between two looks whether the store still answers, in milliseconds. */
const POLL_MILLISECONDS = 100;

/** One node's view of the stand-in of the store. */
export class StandInLog extends SharedLog {
  readonly #store: StandInStore;
  /** News that came while the store was down. */
  readonly #held: News[] = [];
  #listener: SharedLogListener | undefined;
  #timer: NodeJS.Timeout | undefined;
  /** Whether news are held back though calls are answered. */
  isSilent = false;

  /** @param store The store. */
  constructor(store: StandInStore) {
    super();
    this.#store = store;
  }

  override start(listener: SharedLogListener): void {
    this.#listener = listener;
    this.#store.attach(this, listener);
    listener.reached();
    this.#timer = setInterval(() => {
      if (!this.#store.isUp) {
        listener.failed(FAILURE);
        return;
      }
      this.#release(listener);
      listener.reached();
    }, POLL_MILLISECONDS);
  }

  override claim(
    claims: readonly ClaimRecord[],
  ): Promise<Result<boolean, Failure>> {
    if (!this.#store.isUp) return Promise.resolve(err(FAILURE));
    this.#store.appendClaims(claims);
    return Promise.resolve(ok(true));
  }

  /** Claims are told as they are added. */
  override catchUp(): Promise<void> {
    return Promise.resolve();
  }

  override hurry(): void {}

  override announce(node: NodeRecord): Promise<Result<boolean, Failure>> {
    if (!this.#store.isUp) return Promise.resolve(err(FAILURE));
    this.#store.appendNode(node);
    return Promise.resolve(ok(true));
  }

  override changeSuspicions(
    changes: readonly SuspicionChange[],
  ): Promise<Result<void, Failure>> {
    if (!this.#store.isUp) return Promise.resolve(err(FAILURE));
    this.#store.changeSuspicions(changes);
    return Promise.resolve(ok(undefined));
  }

  override stop(): void {
    clearInterval(this.#timer);
    this.#store.detach(this);
    this.#listener = undefined;
  }

  /**
   * Takes news of the store, for when it answers.
   * @param tell Tells it to whoever listens.
   */
  deliver(tell: News): void {
    if (!this.#store.isUp || this.isSilent) this.#held.push(tell);
    else if (this.#listener !== undefined) tell(this.#listener);
  }

  #release(listener: SharedLogListener): void {
    if (this.isSilent) return;
    for (const tell of this.#held.splice(0)) tell(listener);
  }
}
