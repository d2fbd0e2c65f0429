import {
  type BackendServerId,
  elapsed,
  type Instant,
  seconds,
  type ServiceId,
  type SoftwareVersion,
} from "../../shared/mod.ts";
import type { RegisteredServer } from "../registry/registered_server.ts";
import { STREAM_RETENTION, type StreamOrigin } from "./stream_origin.ts";

interface KnownSoftware {
  readonly software: SoftwareVersion;
  /** When it became known that the server runs it instead of another one. */
  readonly changedAt?: Instant;
}

/**
 * How long a server may have answered with other software than the registry
 * tells of its id, before this node hears that it has restarted.
 */
const UNNOTICED_RESTART = seconds(2);
/** The most servers that are remembered. */
const MAXIMUM_SERVERS = 5_000;

/** Which software servers have run, according to the registry. */
export class SoftwareHistory {
  readonly #known = new Map<BackendServerId, KnownSoftware>();
  /** When each service was last known to have a server of each version. */
  readonly #versions = new Map<ServiceId, Map<SoftwareVersion, Instant>>();

  /**
   * Records which software a server runs, or ran until it was removed.
   * @param now The present time.
   * @param server The server.
   */
  record(now: Instant, server: RegisteredServer): void {
    const { id, software } = server;
    this.#recordVersion(now, server);
    const known = this.#known.get(id);
    if (known?.software === software) return;
    this.#known.delete(id);
    this.#known.set(id, {
      software,
      ...(known === undefined ? {} : { changedAt: now }),
    });
    for (const oldest of this.#known.keys()) {
      if (this.#known.size <= MAXIMUM_SERVERS) break;
      this.#known.delete(oldest);
    }
  }

  /**
   * Checks whether all streams of a service that may still be resumed were begun
   * by the same software, as far as this node knows.
   * @param now The present time.
   * @param service The service.
   * @param servers The servers of the service that are registered.
   * @returns Whether no server of another version is or was known lately.
   */
  hasSingleVersion(
    now: Instant,
    service: ServiceId,
    servers: readonly RegisteredServer[],
  ): boolean {
    const recent = [...this.#versions.get(service) ?? []]
      .filter(([, seenAt]) => elapsed(seenAt, now) < STREAM_RETENTION)
      .map(([software]) => software);
    const registered = servers.map(({ software }) => software);
    return new Set([...recent, ...registered]).size <= 1;
  }

  /**
   * Checks whether a stream may have been begun by a later start of its server,
   * whose software is another one. An answer doesn't tell which start gave it.
   * @param origin What is thought to have begun the stream.
   * @returns Whether the software is uncertain.
   */
  isUncertain(
    origin: Pick<StreamOrigin, "server" | "software" | "begunAt">,
  ): boolean {
    const known = this.#known.get(origin.server);
    if (known?.changedAt === undefined) return false;
    return known.software !== origin.software &&
      elapsed(origin.begunAt, known.changedAt) < UNNOTICED_RESTART;
  }

  #recordVersion(now: Instant, { service, software }: RegisteredServer): void {
    const versions = this.#versions.get(service) ??
      new Map<SoftwareVersion, Instant>();
    this.#versions.set(service, versions);
    versions.set(software, now);
    for (const [version, seenAt] of versions) {
      if (elapsed(seenAt, now) >= STREAM_RETENTION) versions.delete(version);
    }
  }
}
