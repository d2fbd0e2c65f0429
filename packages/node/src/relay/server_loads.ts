import {
  type BackendServerId,
  chooseServer,
  type FailureDomainId,
  type Instant,
  isDifferentStart,
  type RegisteredServer,
  ServerLoad,
  type ServerStart,
} from "@foxtailwind/core";

interface TrackedServer {
  /** Set later if it was unknown at first. */
  start: ServerStart | undefined;
  readonly load: ServerLoad;
}

/** The load that this node has observed on each backend server. */
export class ServerLoads {
  readonly #loads = new Map<BackendServerId, TrackedServer>();
  readonly #failureDomain: FailureDomainId;

  /** @param failureDomain The failure domain of this node. */
  constructor(failureDomain: FailureDomainId) {
    this.#failureDomain = failureDomain;
  }

  /**
   * Returns the load observed on a server since its start. A new start begins
   * with an empty load; requests already sent to the earlier start keep using
   * the load of that start.
   * @param server The server, as it is known now.
   * @returns The observed load.
   */
  loadOf({ id, start }: Pick<RegisteredServer, "id" | "start">): ServerLoad {
    const known = this.#loads.get(id);
    if (known !== undefined && !isDifferentStart(known.start, start)) {
      known.start ??= start;
      return known.load;
    }
    const load = new ServerLoad();
    this.#loads.set(id, { start, load });
    return load;
  }

  /**
   * Chooses a server for a request that any server of its service can run.
   * @param now The present time.
   * @param servers The servers of the service.
   * @param random A random number, at least 0 and less than 1.
   * @returns The server, or undefined if there are none.
   */
  choose(
    now: Instant,
    servers: readonly RegisteredServer[],
    random: number,
  ): RegisteredServer | undefined {
    const loaded = servers.map((server) => ({
      server,
      load: this.loadOf(server),
      isNear: server.failureDomain === this.#failureDomain,
    }));
    return chooseServer(now, loaded, random);
  }

  /**
   * Drops the loads of removed servers.
   * @param ids The servers to keep.
   */
  retain(ids: ReadonlySet<BackendServerId>): void {
    for (const id of this.#loads.keys()) {
      if (!ids.has(id)) this.#loads.delete(id);
    }
  }
}
