import type {
  RegisteredServer,
  ServerRegistry,
  ServiceId,
} from "@foxtailwind/core";

/** The registered servers, grouped by their services. */
export class ServersByService {
  readonly #registry: ServerRegistry;
  #groups = new Map<ServiceId, readonly RegisteredServer[]>();
  #revision = -1;

  /** @param registry The registry of servers. */
  constructor(registry: ServerRegistry) {
    this.#registry = registry;
  }

  /**
   * Lists the servers of a service.
   * @param service The service.
   * @returns The servers, including those that are leaving.
   */
  serversOf(service: ServiceId): readonly RegisteredServer[] {
    if (this.#revision !== this.#registry.revision) this.#regroup();
    return this.#groups.get(service) ?? [];
  }

  #regroup(): void {
    const groups = new Map<ServiceId, RegisteredServer[]>();
    for (const server of this.#registry.all) {
      const group = groups.get(server.service) ?? [];
      group.push(server);
      groups.set(server.service, group);
    }
    this.#groups = groups;
    this.#revision = this.#registry.revision;
  }
}
