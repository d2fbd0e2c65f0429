import {
  elapsed,
  type Failure,
  hasManyReaders,
  milliseconds,
  type RegisteredServer,
  scaledPause,
} from "@foxtailwind/core";
import {
  type ClaimRecord,
  type NodeRecord,
  ProcessClock,
  SharedLog,
  type SharedLogListener,
  type StoredOrigin,
  type StreamSourceChanges,
  type SuspicionChange,
} from "@foxtailwind/node/relay";
import { err, ok, type Result } from "neverthrow";
import type {
  Notification,
  StandInStore,
  StoreReader,
} from "./stand_in_store.ts";

const STORE_DOWN: Failure = {
  reason: "unavailable",
  step: "read_log",
  peer: "store",
  message: "The stand-in of the store is down.",
  outcome: "not_run",
};

/** The interval between two checks whether the store is up. */
const POLL_MILLISECONDS = 100;
/** The interval between two checks whether to read the registry. */
const REGISTRY_POLL_MILLISECONDS = 20;
/** The interval between two reads of the registry by a node that watches it. */
const WATCHER_PAUSE = milliseconds(650);
/** The same of the other nodes, in a cluster of twelve. */
const OTHER_READERS_PAUSE = milliseconds(4_000);

/** One node's view of the stand-in store. */
export class StandInLog extends SharedLog implements StoreReader {
  readonly #store: StandInStore;
  /** Notifications held back while the store was down or the log silent. */
  readonly #heldBack: Notification[] = [];
  readonly #unreadEntries: Notification[] = [];
  readonly #clock = new ProcessClock();
  #registryReadAt = this.#clock.now();
  #registryTimer: NodeJS.Timeout | undefined;
  #listener: SharedLogListener | undefined;
  #timer: NodeJS.Timeout | undefined;
  /** Whether notifications are held back although calls are answered. */
  isSilent = false;
  /** Returns a server as this node sees it, which may be over a link. */
  viewServer: (server: RegisteredServer) => RegisteredServer = (server) =>
    server;

  /** @param store The store. */
  constructor(store: StandInStore) {
    super();
    this.#store = store;
  }

  override start(listener: SharedLogListener): void {
    this.#listener = listener;
    this.#store.attach(this, listener);
    const begunAt = listener.beginRead();
    listener.operatorsRead(begunAt);
    listener.registryRead(begunAt);
    listener.caughtUp();
    this.#timer = setInterval(() => {
      if (!this.#store.isUp) {
        listener.callFailed(STORE_DOWN);
        return;
      }
      this.#deliverHeldBack(listener);
      if (!this.isSilent) this.#reportReads(listener);
      listener.caughtUp();
    }, POLL_MILLISECONDS);
    this.#registryTimer = setInterval(() => {
      if (this.#isRegistryReadDue(listener)) this.readRegistry();
    }, REGISTRY_POLL_MILLISECONDS);
  }

  override claim(
    claims: readonly ClaimRecord[],
  ): Promise<Result<boolean, Failure>> {
    if (!this.#store.isUp) return Promise.resolve(err(STORE_DOWN));
    this.#store.appendClaims(claims);
    return Promise.resolve(ok(true));
  }

  /** Does nothing, since claims are delivered as they are added. */
  override catchUp(): Promise<void> {
    return Promise.resolve();
  }

  /** Does nothing, since the log is read often. */
  override readOperators(): void {}

  /** Whether this node reads the registry on behalf of others. */
  get isWatcher(): boolean {
    return this.#listener?.isWatcher === true;
  }

  override readRegistry(): void {
    const listener = this.#listener;
    if (listener === undefined || !this.#store.isUp || this.isSilent) return;
    this.#registryReadAt = this.#clock.now();
    const begunAt = listener.beginRead();
    for (const notify of this.#unreadEntries.splice(0)) notify(listener, this);
    listener.registryRead(begunAt);
  }

  /** Does nothing, since claims are delivered as they are added. */
  override catchUpSoon(): void {}

  override announce(node: NodeRecord): Promise<Result<boolean, Failure>> {
    if (!this.#store.isUp) return Promise.resolve(err(STORE_DOWN));
    this.#store.appendNode(node);
    return Promise.resolve(ok(true));
  }

  override changeSuspicions(
    changes: readonly SuspicionChange[],
  ): Promise<Result<void, Failure>> {
    if (!this.#store.isUp) return Promise.resolve(err(STORE_DOWN));
    this.#store.changeSuspicions(changes);
    return Promise.resolve(ok(undefined));
  }

  override changeStreamSources(
    changes: StreamSourceChanges,
  ): Promise<Result<boolean, Failure>> {
    if (!this.#store.isUp) return Promise.resolve(err(STORE_DOWN));
    this.#store.changeStreamSources(changes);
    return Promise.resolve(ok(true));
  }

  /** Records are delivered as they are added, unless this log is silent. */
  override readStreamSources(): Promise<boolean> {
    if (!this.#store.isUp || this.#listener === undefined || this.isSilent) {
      return Promise.resolve(false);
    }
    this.#deliverHeldBack(this.#listener);
    return Promise.resolve(true);
  }

  override confirmStreamSources(): Promise<Result<boolean, Failure>> {
    if (!this.#store.isUp) return Promise.resolve(err(STORE_DOWN));
    this.#store.confirmStreamSources();
    return Promise.resolve(ok(true));
  }

  override appendStreamOrigins(
    origins: readonly StoredOrigin[],
  ): Promise<Result<void, Failure>> {
    if (!this.#store.isUp) return Promise.resolve(err(STORE_DOWN));
    this.#store.appendOrigins(origins);
    return Promise.resolve(ok(undefined));
  }

  override readStreamOrigins(): Promise<
    Result<readonly StoredOrigin[], Failure>
  > {
    return Promise.resolve(
      this.#store.isUp ? ok(this.#store.origins) : err(STORE_DOWN),
    );
  }

  override stop(): void {
    clearInterval(this.#timer);
    clearInterval(this.#registryTimer);
    this.#store.detach(this);
    this.#listener = undefined;
  }

  /**
   * Passes a notification to the listener, or holds it back while the store is
   * down or the log is silent.
   * @param notify Calls the listener.
   */
  deliver(notify: Notification): void {
    if (!this.#store.isUp || this.isSilent) this.#heldBack.push(notify);
    else if (this.#listener !== undefined) notify(this.#listener, this);
  }

  /**
   * Passes an entry of the registry to the listener, or holds it back until the
   * node reads the registry.
   * @param notify Calls the listener.
   */
  deliverEntry(notify: Notification): void {
    if (this.#store.pacesRegistryReads) this.#unreadEntries.push(notify);
    else this.deliver(notify);
  }

  #reportReads(listener: SharedLogListener): void {
    const begunAt = listener.beginRead();
    listener.operatorsRead(begunAt);
    if (!this.#store.pacesRegistryReads) listener.registryRead(begunAt);
  }

  #isRegistryReadDue({ isWatcher, readerCount }: SharedLogListener): boolean {
    if (!this.#store.pacesRegistryReads) return false;
    const isNotified = !isWatcher && hasManyReaders(readerCount);
    const pause = isNotified
      ? scaledPause(OTHER_READERS_PAUSE, readerCount)
      : WATCHER_PAUSE;
    return elapsed(this.#registryReadAt, this.#clock.now()) >= pause;
  }

  #deliverHeldBack(listener: SharedLogListener): void {
    if (this.isSilent) return;
    for (const notify of this.#heldBack.splice(0)) notify(listener, this);
  }
}
