import {
  type BackendServerId,
  elapsed,
  type Instant,
  seconds,
  type SoftwareVersion,
} from "../../shared/mod.ts";
import type { RegisteredServer } from "../registry/registered_server.ts";
import type { StreamOrigin } from "./stream_origin.ts";

/** What began a stream; without its server if only the software is known. */
type PossibleOrigin =
  & Pick<StreamOrigin, "software">
  & Partial<Pick<StreamOrigin, "server" | "begunAt">>;

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

  /**
   * Records which software a server runs, or ran until it was removed.
   * @param now The present time.
   * @param server The server.
   */
  record(now: Instant, server: RegisteredServer): void {
    const { id, software } = server;
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
   * Checks whether a stream may have been begun by a later start of its server,
   * whose software is another one. An answer doesn't tell which start gave it.
   * @param origin What is thought to have begun the stream.
   * @returns Whether the software is uncertain.
   */
  isUncertain(
    { server, software, begunAt }: PossibleOrigin,
  ): boolean {
    if (server === undefined || begunAt === undefined) return false;
    const known = this.#known.get(server);
    if (known?.changedAt === undefined) return false;
    return known.software !== software &&
      elapsed(begunAt, known.changedAt) < UNNOTICED_RESTART;
  }
}
