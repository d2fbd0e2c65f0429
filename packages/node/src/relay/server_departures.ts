import {
  type EntryOutcome,
  type Instant,
  type RegisteredServer,
  type RegistryEntry,
  RELAY_SENTENCE,
  type ServerRegistry,
  UnconfirmedDepartures,
} from "@foxtailwind/core";
import type { ComponentLogger } from "../logging/component_logger.ts";

/** The departures that servers announce to this node in their answers. */
export class ServerDepartures {
  readonly #registry: ServerRegistry;
  readonly #logger: ComponentLogger;
  readonly #unconfirmed = new UnconfirmedDepartures();
  /** Called when a server has to be asked whether it leaves. */
  onUnconfirmed: () => void = () => undefined;

  /**
   * @param registry The known servers.
   * @param logger The logger.
   */
  constructor(registry: ServerRegistry, logger: ComponentLogger) {
    this.#registry = registry;
    this.#logger = logger;
  }

  /**
   * The servers whose newest start may have announced a departure. They get no
   * requests until it is known.
   */
  get unconfirmed(): readonly RegisteredServer[] {
    const { servers } = this.#unconfirmed;
    if (servers.size === 0) return [];
    const registered = this.#registry.all.filter(({ id }) => servers.has(id));
    const ids = new Set(registered.map(({ id }) => id));
    for (const id of servers) {
      if (!ids.has(id)) this.#unconfirmed.resolve(id);
    }
    return registered;
  }

  /**
   * Checks whether a server may receive requests.
   * @param server The server.
   * @returns Whether it is present and isn't known or suspected to leave.
   */
  takesRequests(server: RegisteredServer): boolean {
    return this.#registry.takesRequests(server) &&
      !this.#unconfirmed.servers.has(server.id);
  }

  /**
   * Records that an answer announced a departure.
   * @param now The present time.
   * @param server The server, as known when the request was sent to it.
   * @returns Whether its start was not known to leave.
   */
  recordAnswer(now: Instant, server: RegisteredServer): boolean {
    const newest = this.#registry.find(server.id)?.start;
    if (this.#unconfirmed.recordAnswer(server, newest)) {
      this.#reportUnconfirmed(server);
    }
    if (!this.#registry.recordDeparture(now, server)) return false;
    this.#logger.info(RELAY_SENTENCE.serverLeaves, {
      server: server.id,
      service: server.service,
      start: server.start,
      stated_by: "answer",
    });
    return true;
  }

  /**
   * Records that an entry of the registry was applied.
   * @param entry The entry.
   * @param outcome The outcome.
   */
  recordEntry(entry: RegistryEntry, outcome: EntryOutcome | undefined): void {
    if (entry.kind === "gone" || outcome !== "restarted") return;
    if (!this.#unconfirmed.recordRestart(entry.server.id)) return;
    this.#reportUnconfirmed(entry.server);
  }

  /**
   * Records the answer of a server that was asked whether it leaves.
   * @param now The present time.
   * @param server The server, as known when it was asked.
   * @param isLeaving Whether it leaves.
   */
  applyProbe(
    now: Instant,
    server: RegisteredServer,
    isLeaving: boolean,
  ): void {
    // Another start that has become known meanwhile has to be asked as well.
    const isNewest = this.#registry.find(server.id)?.start === server.start;
    if (!isNewest) return;
    this.#unconfirmed.resolve(server.id);
    if (isLeaving) this.recordAnswer(now, server);
    this.#logger.info("A restarted server was asked whether it leaves.", {
      server: server.id,
      start: server.start,
      leaving: isLeaving,
    });
  }

  #reportUnconfirmed({ id }: RegisteredServer): void {
    this.#logger.info("A departure may be that of a restarted server.", {
      server: id,
      start: this.#registry.find(id)?.start,
    });
    this.onUnconfirmed();
  }
}
