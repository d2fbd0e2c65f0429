import {
  type RegisteredServer,
  ServerReach,
  type ServiceId,
} from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { BackendPools } from "./backend_pools.ts";
import type { Knowledge } from "./knowledge.ts";

/** The most servers that one probe connects to. */
const PROBED_SERVERS = 4;
/** The most servers that a probe connects to once a service is out of reach. */
const PROBED_UNREACHED_SERVERS = 2;

/** The dependencies of {@link ReachMonitor}. */
export interface ReachMonitorParts {
  readonly knowledge: Pick<Knowledge, "routes" | "servers">;
  readonly pools: Pick<BackendPools, "observer" | "probe">;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
  /** Called when a service has come into or out of reach. */
  readonly onChange: () => void;
}

/** Watches the connections to servers, and probes services that seem cut off. */
export class ReachMonitor {
  readonly #parts: ReachMonitorParts;
  readonly #reach = new ServerReach();

  /** @param parts The dependencies. */
  constructor(parts: ReachMonitorParts) {
    this.#parts = parts;
    parts.pools.observer = {
      onConnected: (server) => {
        this.#recordConnected(server);
      },
      onFailure: (server) => {
        const now = this.#parts.clock.now();
        this.#reach.recordFailure(now, server.service, server.id);
        this.#probeIfDue(server.service);
      },
    };
  }

  /** The services that this node doesn't reach, for its peers. */
  get unreachedServices(): readonly ServiceId[] {
    return this.#reach.unreachedServices;
  }

  /**
   * Determines whether this node reaches no server of a service.
   * @param service The service.
   * @returns Whether it reaches none.
   */
  isUnreached(service: ServiceId): boolean {
    return this.#reach.isUnreached(service);
  }

  /** Probes the services for which that is due. */
  refresh(): void {
    const services = this.#services;
    this.#reach.retain(new Set(services));
    for (const service of services) this.#probeIfDue(service);
  }

  get #services(): readonly ServiceId[] {
    const { routes } = this.#parts.knowledge;
    return (routes?.configuration.services ?? []).map(({ id }) => id);
  }

  #probeIfDue(service: ServiceId): void {
    const { knowledge, clock } = this.#parts;
    const servers = knowledge.servers(service).filter((one) => !one.leaving);
    const now = clock.now();
    if (!this.#reach.isProbeDue(now, service, servers.length)) return;
    this.#reach.recordProbe(now, service);
    void this.#probe(service, servers);
  }

  async #probe(
    service: ServiceId,
    servers: readonly RegisteredServer[],
  ): Promise<void> {
    const { pools, logger, onChange } = this.#parts;
    const count = this.#reach.isUnreached(service)
      ? PROBED_UNREACHED_SERVERS
      : PROBED_SERVERS;
    const results = await Promise.all(
      pickRandom(servers, count).map((server) => pools.probe(server)),
    );
    if (results.includes(true)) return;
    const others = this.#services.filter((other) => other !== service);
    if (!this.#reach.recordUnreached(service, others)) return;
    logger.warn("No server of a service can be reached.", { service });
    onChange();
    for (const other of others) this.#probeIfDue(other);
  }

  #recordConnected({ service }: RegisteredServer): void {
    if (!this.#reach.recordConnected(service)) return;
    this.#parts.logger.info("A service can be reached again.", { service });
    this.#parts.onChange();
  }
}

function pickRandom<Item>(items: readonly Item[], count: number): Item[] {
  return items.map((item) => ({ item, order: Math.random() }))
    .sort((one, other) => one.order - other.order)
    .slice(0, count)
    .map(({ item }) => item);
}
