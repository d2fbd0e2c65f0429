import type { BackendServerId } from "@foxtailwind/core";

/** Sends to servers that did not run the request. */
const MOST_SENDS = 6;
/** Servers without a connection that are tried before the caller is told. */
const MOST_UNSENT = 4;

/** Where one request was sent, and after which sends it may have run. */
export class SendRecord {
  readonly #tried = new Set<BackendServerId>();
  #sends = 0;
  #runs = 0;
  #unsent = 0;
  #lastServer: BackendServerId | undefined;

  /** How often it was sent. */
  get sends(): number {
    return this.#sends;
  }

  /** Sends after which it may have run. */
  get runs(): number {
    return this.#runs;
  }

  /** The last server that it was sent to. */
  get lastServer(): BackendServerId | undefined {
    return this.#lastServer;
  }

  /** Whether a further send is one too many, whatever came of the others. */
  get isSpent(): boolean {
    return this.#sends >= MOST_SENDS;
  }

  /** Whether so many servers took no connection that no other is tried. */
  get foundNoConnection(): boolean {
    return this.#unsent >= MOST_UNSENT;
  }

  /**
   * Tells whether a server had the request already.
   * @param server The server.
   * @returns Whether a send to it has ended.
   */
  hasTried(server: BackendServerId): boolean {
    return this.#tried.has(server);
  }

  /**
   * Takes note of a send: until more is known, it may have run.
   * @param server Where it goes.
   */
  begin(server: BackendServerId): void {
    this.#sends += 1;
    this.#runs += 1;
    this.#lastServer = server;
  }

  /**
   * Takes note that a send has ended, and may have run.
   * @param server Where it went.
   */
  ended(server: BackendServerId): void {
    this.#tried.add(server);
  }

  /**
   * Takes note that a server says that it has not run the request.
   * @param server The server.
   */
  notRun(server: BackendServerId): void {
    this.#runs -= 1;
    this.#tried.add(server);
  }

  /**
   * Takes note that a send found no connection.
   * @param server The server.
   */
  notSent(server: BackendServerId): void {
    this.#runs -= 1;
    this.#sends -= 1;
    this.#unsent += 1;
    this.#tried.add(server);
  }
}
