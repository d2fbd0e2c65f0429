import type { BackendServerId, Instant } from "../shared/mod.ts";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";
import { readmitServers } from "./outlier_ejection.ts";
import type { ServiceServerView } from "./service_call.ts";
import { ServiceServer } from "./service_server.ts";

/** The servers of one service, as the list and the servers tell of them. */
export class ServerSet {
  readonly #makeLimit: () => ConcurrencyLimit;
  readonly #servers = new Map<BackendServerId, ServiceServer>();
  #ordered: readonly ServiceServer[] = [];

  /** @param makeLimit Makes the limit of a server that is new. */
  constructor(makeLimit: () => ConcurrencyLimit) {
    this.#makeLimit = makeLimit;
  }

  /** All servers, the leaving ones too. */
  get all(): readonly ServiceServer[] {
    return this.#ordered;
  }

  /**
   * Takes the list's latest word. What a server said of itself stays.
   * @param now The present time.
   * @param views The servers that the list shows.
   */
  update(now: Instant, views: readonly ServiceServerView[]): void {
    const shown = new Set(views.map((view) => view.server));
    for (const id of this.#servers.keys()) {
      if (!shown.has(id)) this.#servers.delete(id);
    }
    for (const view of views) this.#updateOne(now, view);
    this.#ordered = [...this.#servers.values()];
  }

  /**
   * Ends ejections whose time is over.
   * @param now The present time.
   */
  readmit(now: Instant): void {
    readmitServers(now, this.#ordered);
  }

  /**
   * Tells whether any server may get work at all.
   * @param now The present time.
   * @returns Whether one stays and is not ejected.
   */
  anyEligible(now: Instant): boolean {
    return this.#ordered.some((server) => server.isEligible(now));
  }

  /**
   * Tells whether any server may get an attempt now.
   * @param now The present time.
   * @returns Whether one has a place free.
   */
  hasPlace(now: Instant): boolean {
    return this.#ordered.some((server) => server.isAvailable(now));
  }

  /**
   * Adds up the places of the servers that may get work.
   * @param now The present time.
   * @returns The places, and how many of them are taken.
   */
  capacity(
    now: Instant,
  ): { readonly limit: number; readonly inFlight: number } {
    let limit = 0;
    let inFlight = 0;
    for (const server of this.#ordered) {
      if (!server.isEligible(now)) continue;
      limit += server.limit;
      inFlight += server.inFlight;
    }
    return { limit, inFlight };
  }

  /**
   * Tells when the next ejection ends.
   * @returns The time, or nothing where none is ejected.
   */
  nextReadmission(): Instant | undefined {
    let next: Instant | undefined;
    for (const { ejectedUntil } of this.#ordered) {
      if (ejectedUntil === undefined) continue;
      if (next === undefined || ejectedUntil < next) next = ejectedUntil;
    }
    return next;
  }

  #updateOne(now: Instant, view: ServiceServerView): void {
    let server = this.#servers.get(view.server);
    if (server === undefined) {
      const limit = this.#makeLimit();
      server = new ServiceServer(view.server, view.failureDomain, {
        limit,
        now,
      });
      this.#servers.set(view.server, server);
    }
    if (view.leaving) server.leave();
  }
}
