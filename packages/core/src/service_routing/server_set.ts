import type { BackendServerId, Instant } from "../shared/mod.ts";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";
import { readmitServers } from "./outlier_ejection.ts";
import type { ServiceServerView } from "./service_call.ts";
import { ServiceServer } from "./service_server.ts";

/** The servers of one service, from the VM list and their own answers. */
export class ServerSet {
  readonly #createLimit: () => ConcurrencyLimit;
  readonly #servers = new Map<BackendServerId, ServiceServer>();
  #ordered: readonly ServiceServer[] = [];

  /** @param createLimit Creates the concurrency limit of a new server. */
  constructor(createLimit: () => ConcurrencyLimit) {
    this.#createLimit = createLimit;
  }

  /** All servers, including leaving ones. */
  get all(): readonly ServiceServer[] {
    return this.#ordered;
  }

  /**
   * Applies a new server list. A server that announced that it is leaving
   * stays marked as leaving.
   * @param now The present time.
   * @param views The listed servers.
   */
  update(now: Instant, views: readonly ServiceServerView[]): void {
    const listed = new Set(views.map((view) => view.server));
    for (const id of this.#servers.keys()) {
      if (!listed.has(id)) this.#servers.delete(id);
    }
    for (const view of views) this.#updateOne(now, view);
    this.#ordered = [...this.#servers.values()];
  }

  /**
   * Readmits servers whose ejection is over.
   * @param now The present time.
   */
  readmit(now: Instant): void {
    readmitServers(now, this.#ordered);
  }

  /**
   * Checks whether any server is eligible for work.
   * @param now The present time.
   * @returns Whether one is neither leaving nor ejected.
   */
  anyEligible(now: Instant): boolean {
    return this.#ordered.some((server) => server.isEligible(now));
  }

  /**
   * Checks whether any server can take an attempt now.
   * @param now The present time.
   * @returns Whether one is eligible and below its limit.
   */
  hasAvailable(now: Instant): boolean {
    return this.#ordered.some((server) => server.isAvailable(now));
  }

  /**
   * Sums the limits and the attempts in flight of the eligible servers.
   * @param now The present time.
   * @returns The total limit and the total in flight.
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
   * Finds when the next ejection ends.
   * @returns The time, or undefined if no server is ejected.
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
      const limit = this.#createLimit();
      server = new ServiceServer(view.server, view.failureDomain, {
        limit,
        now,
      });
      this.#servers.set(view.server, server);
    }
    if (view.leaving) server.markLeaving();
  }
}
