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
  /** Told later where it was unknown at first. */
  start: ServerStart | undefined;
  readonly load: ServerLoad;
}

/** What this node has seen of each backend server, since it started. */
export class ServerLoads {
  readonly #loads = new Map<BackendServerId, TrackedServer>();
  readonly #failureDomain: FailureDomainId;

  /** @param failureDomain Where this node stands. */
  constructor(failureDomain: FailureDomainId) {
    this.#failureDomain = failureDomain;
  }

  /**
   * Gives what was seen of a server at its start; of an earlier one nothing
   * counts, and sends to that one go on with what was seen of it.
   * @param server The server, as it is known now.
   * @returns What was seen.
   */
  of({ id, start }: Pick<RegisteredServer, "id" | "start">): ServerLoad {
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
   * @param servers The servers.
   * @param random A number from 0 up to, and without, 1.
   * @returns The server, or nothing where there is none.
   */
  choose(
    now: Instant,
    servers: readonly RegisteredServer[],
    random: number,
  ): RegisteredServer | undefined {
    const loaded = servers.map((server) => ({
      server,
      load: this.of(server),
      isNear: server.failureDomain === this.#failureDomain,
    }));
    return chooseServer(now, loaded, random);
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
