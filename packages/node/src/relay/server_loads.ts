import {
  type BackendServerId,
  chooseServer,
  type FailureDomainId,
  type Instant,
  type RegisteredServer,
  ServerLoad,
} from "@foxtailwind/core";

/** What this node has seen of each backend server. */
export class ServerLoads {
  readonly #loads = new Map<BackendServerId, ServerLoad>();
  readonly #failureDomain: FailureDomainId;

  /** @param failureDomain Where this node stands. */
  constructor(failureDomain: FailureDomainId) {
    this.#failureDomain = failureDomain;
  }

  /**
   * Gives what was seen of a server.
   * @param id The server.
   * @returns What was seen.
   */
  of(id: BackendServerId): ServerLoad {
    const known = this.#loads.get(id);
    if (known !== undefined) return known;
    const load = new ServerLoad();
    this.#loads.set(id, load);
    return load;
  }

  /**
   * Chooses a server for a request that any server of its service can run.
   * @param now The present time.
   * @param servers The servers.
   * @param draw A number from 0 up to, and without, 1.
   * @returns The server, or nothing where there is none.
   */
  choose(
    now: Instant,
    servers: readonly RegisteredServer[],
    draw: number,
  ): RegisteredServer | undefined {
    const loaded = servers.map((server) => ({
      server,
      load: this.of(server.id),
      isNear: server.failureDomain === this.#failureDomain,
    }));
    return chooseServer(now, loaded, draw);
  }

  /**
   * Forgets servers that are gone.
   * @param ids The servers that remain.
   */
  retain(ids: ReadonlySet<BackendServerId>): void {
    for (const id of this.#loads.keys()) {
      if (!ids.has(id)) this.#loads.delete(id);
    }
  }
}
