import {
  type BackendServerId,
  isDifferentStart,
  type ProbeOutcome,
  type RegisteredServer,
  type ServerStart,
} from "@foxtailwind/core";
import {
  afterPendingInput,
  resetUnanswered,
  trackConnectionEnds,
} from "@foxtailwind/edges";
import { buildConnector, Client, type Dispatcher, Pool } from "undici";

/** An attempt to connect that takes longer counts as failed. */
const CONNECT_TIMEOUT_MILLISECONDS = 700;
/** How long idle connections are kept if the server states no time. */
const DEFAULT_KEEP_ALIVE_MILLISECONDS = 4_000;
/** How long before the server's stated time a connection is given up. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 600;
/** The longest stated time that is honoured. */
const MAXIMUM_KEEP_ALIVE_MILLISECONDS = 60_000;
/** What failed connections have shown, by error code. */
const FAILED_PROBES: ReadonlyMap<string | undefined, ProbeOutcome> = new Map([
  ["ECONNREFUSED", "refused"],
  ["ECONNRESET", "reset"],
]);
/** A connection that stays open for this long was accepted by its server. */
const ACCEPTED_MILLISECONDS = 50;
/** Idle time before the first TCP keep-alive probe. */
const TCP_KEEP_ALIVE_DELAY_MILLISECONDS = 1_000;
/** The share of a server's connections that all nodes use together. */
const USED_CONNECTION_SHARE = 0.85;
const MINIMUM_CONNECTIONS = 2;

interface PoolEntry {
  /** Filled in later if it was unknown at first. */
  start: ServerStart | undefined;
  readonly pool: Pool;
}

/** Observes the attempts to connect to servers. */
export interface ConnectionObserver {
  readonly onConnected: (server: RegisteredServer) => void;
  readonly onFailure: (server: RegisteredServer) => void;
}

/** Connection pools for backend servers, separate for each server start. */
export class BackendPools {
  readonly #pools = new Map<BackendServerId, PoolEntry>();
  readonly #connect = resetUnanswered(trackConnectionEnds(buildConnector({
    timeout: CONNECT_TIMEOUT_MILLISECONDS,
    keepAlive: true,
    keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MILLISECONDS,
  })));
  /** Told of each attempt to connect. */
  observer: ConnectionObserver | undefined;

  /**
   * Returns the connection pool for a server. Connections to an earlier start
   * stay open for the requests that use them, some of which may run at the new
   * start.
   * @param server The server, as currently registered.
   * @param connectionLimit The connections that it accepts from all nodes.
   * @param nodeCount The number of nodes that share them.
   * @returns The pool.
   */
  getPool(
    server: RegisteredServer,
    connectionLimit: number,
    nodeCount: number,
  ): Dispatcher {
    const entry = this.#pools.get(server.id);
    if (entry !== undefined && !isDifferentStart(entry.start, server.start)) {
      entry.start ??= server.start;
      return entry.pool;
    }
    this.retire(server.id);
    const share = Math.floor(
      connectionLimit * USED_CONNECTION_SHARE / nodeCount,
    );
    const pool = new Pool(`http://${server.address}`, {
      connections: Math.max(MINIMUM_CONNECTIONS, share),
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MILLISECONDS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MILLISECONDS,
      keepAliveMaxTimeout: MAXIMUM_KEEP_ALIVE_MILLISECONDS,
      connect: this.#observedConnect(server),
    });
    this.#pools.set(server.id, { start: server.start, pool });
    return pool;
  }

  /**
   * Checks whether any connection to a server is open. All of them close when
   * the server ends.
   * @param server The server, as registered when a request was last sent to it.
   * @returns Whether one is open.
   */
  isConnected({ id, start }: RegisteredServer): boolean {
    const entry = this.#pools.get(id);
    if (entry === undefined || isDifferentStart(entry.start, start)) {
      return false;
    }
    return entry.pool.stats.connected > 0;
  }

  /**
   * Creates a client with one connection for a single request. The caller
   * closes it.
   * @param server The server.
   * @returns The client.
   */
  createSingleUseClient(server: RegisteredServer): Dispatcher {
    return new Client(`http://${server.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: this.#observedConnect(server),
    });
  }

  /**
   * Opens a connection to a server and closes it at once.
   * @param server The server.
   * @returns Whether the connection was opened.
   */
  probe(server: RegisteredServer): Promise<boolean> {
    const { hostname, port, protocol } = new URL(`http://${server.address}`);
    return new Promise((resolve) => {
      this.#observedConnect(server)(
        { hostname, port, protocol },
        (error, socket) => {
          socket?.destroy();
          resolve(error === null);
        },
      );
    });
  }

  /**
   * Opens a connection to a server, and closes it once it has stayed open for a
   * moment.
   * @param server The server.
   * @returns What came of it.
   */
  probeEnd(server: RegisteredServer): Promise<ProbeOutcome> {
    const { hostname, port, protocol } = new URL(`http://${server.address}`);
    return new Promise((resolve) => {
      this.#observedConnect(server)(
        { hostname, port, protocol },
        (error, socket) => {
          if (error !== null) {
            const { code } = error as NodeJS.ErrnoException;
            resolve(FAILED_PROBES.get(code) ?? "unanswered");
            return;
          }
          const timer = setTimeout(() => {
            afterPendingInput(() => {
              resolve("accepted");
              socket.destroy();
            });
          }, ACCEPTED_MILLISECONDS);
          socket.on("error", () => undefined);
          socket.once("close", () => {
            clearTimeout(timer);
            resolve("reset");
          });
          socket.resume();
        },
      );
    });
  }

  /**
   * Removes a server's pool, so that later requests open new connections; the
   * open ones may have stopped responding. They close once the requests that
   * use them have ended.
   * @param id The server.
   */
  retire(id: BackendServerId): void {
    const entry = this.#pools.get(id);
    if (entry === undefined) return;
    this.#pools.delete(id);
    void entry.pool.close();
  }

  /**
   * Closes the connections to servers and starts that no longer exist, once the
   * requests on them have ended.
   * @param servers The registered servers.
   */
  retainOnly(servers: readonly RegisteredServer[]): void {
    const starts = new Map(servers.map(({ id, start }) => [id, start]));
    for (const [id, { start }] of this.#pools) {
      const isCurrent = starts.has(id) &&
        !isDifferentStart(start, starts.get(id));
      if (!isCurrent) this.retire(id);
    }
  }

  #observedConnect(server: RegisteredServer): buildConnector.connector {
    return (options, callback) => {
      this.#connect(options, (...result) => {
        const [error] = result;
        if (error === null) this.observer?.onConnected(server);
        else this.observer?.onFailure(server);
        callback(...result);
      });
    };
  }

  /** Closes all connections immediately. */
  async destroy(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }
}
