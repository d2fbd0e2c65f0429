import type { BackendServerId, RegisteredServer } from "@foxtailwind/core";
import type { ResumedOrigin } from "./streams/resumption.ts";

/** The most sends of one request, including those that didn't run it. */
const MAXIMUM_SENDS = 6;
/** Servers that may fail to connect before the request is refused. */
const MAXIMUM_CONNECTION_FAILURES = 4;

/** Records the sends of one request, and how many of them may have run it. */
export class SendHistory {
  readonly #triedServers = new Set<BackendServerId>();
  readonly #reachedServers = new Set<BackendServerId>();
  #sends = 0;
  #possibleRuns = 0;
  #connectionFailures = 0;
  #lastServer: RegisteredServer | undefined;
  #origin: ResumedOrigin | undefined;

  /** @param origin What began the stream that the request resumes, if it does. */
  constructor(origin?: ResumedOrigin) {
    this.#origin = origin;
  }

  /** What began the stream, if it has begun. */
  get origin(): ResumedOrigin | undefined {
    return this.#origin;
  }

  /** The number of sends, without those that found no connection. */
  get sends(): number {
    return this.#sends;
  }

  /** The number of sends that may have run the request. */
  get possibleRuns(): number {
    return this.#possibleRuns;
  }

  /** The last server that it was sent to, as registered then. */
  get lastServer(): RegisteredServer | undefined {
    return this.#lastServer;
  }

  /** Whether no further send is allowed, whatever became of the others. */
  get isSendLimitReached(): boolean {
    return this.#sends >= MAXIMUM_SENDS;
  }

  /** Whether too many servers failed to connect for another one to be tried. */
  get isConnectionLimitReached(): boolean {
    return this.#connectionFailures >= MAXIMUM_CONNECTION_FAILURES;
  }

  /**
   * Checks whether a send to a server has already ended.
   * @param server The server.
   * @returns Whether one has.
   */
  hasTried(server: BackendServerId): boolean {
    return this.#triedServers.has(server);
  }

  /**
   * Checks whether a server may still answer an earlier send.
   * @param server The server.
   * @returns Whether one reached it.
   */
  hasReached(server: BackendServerId): boolean {
    return this.#reachedServers.has(server);
  }

  /**
   * Records a send, which may run the request until more is known.
   * @param server The server that the request is sent to.
   */
  recordSend(server: RegisteredServer): void {
    this.#sends += 1;
    this.#possibleRuns += 1;
    this.#lastServer = server;
  }

  /**
   * Records what began the stream.
   * @param origin The server that sent its first event.
   */
  recordOrigin(origin: ResumedOrigin): void {
    this.#origin = origin;
  }

  /**
   * Records the end of a send that may have run the request.
   * @param server The server.
   */
  recordEnd(server: BackendServerId): void {
    this.#triedServers.add(server);
    this.#reachedServers.add(server);
  }

  /**
   * Records that a server reports not to have run the request.
   * @param server The server.
   */
  recordNotRun(server: BackendServerId): void {
    this.#possibleRuns -= 1;
    this.#triedServers.add(server);
    this.#reachedServers.add(server);
  }

  /**
   * Records that no connection could be made for a send.
   * @param server The server.
   */
  recordNotSent(server: BackendServerId): void {
    this.#possibleRuns -= 1;
    this.#sends -= 1;
    this.#connectionFailures += 1;
    this.#triedServers.add(server);
  }
}
