import type { ServiceId } from "../shared/mod.ts";
import { AccountTable } from "./accounts/mod.ts";
import type {
  RelayConfiguration,
  RelayService,
  Route,
} from "./relay_configuration.ts";

/** Looks up the routes, services and accounts of one configuration. */
export class RouteTable {
  readonly configuration: RelayConfiguration;
  /** The client accounts, or `undefined` if requests need no API keys. */
  readonly accounts: AccountTable | undefined;
  readonly #routes = new Map<string, readonly Route[]>();
  readonly #services = new Map<ServiceId, RelayService>();

  /** @param configuration The configuration, as accepted by its source. */
  constructor(configuration: RelayConfiguration) {
    this.configuration = configuration;
    this.accounts = configuration.accounts &&
      new AccountTable(configuration.accounts);
    for (const route of configuration.routes) {
      const known = this.#routes.get(route.host) ?? [];
      this.#routes.set(route.host, [...known, route]);
    }
    for (const [host, routes] of this.#routes) {
      this.#routes.set(host, routes.toSorted(byLongestPrefix));
    }
    for (const service of configuration.services) {
      this.#services.set(service.id, service);
    }
  }

  /**
   * Finds the route of a request by the longest matching path prefix.
   * @param host The host named by the caller, with or without a port.
   * @param path The path, with or without a query.
   * @returns The route, or `undefined` if none matches.
   */
  find(host: string, path: string): Route | undefined {
    const routes = this.#routes.get(host) ??
      this.#routes.get(withoutPort(host).toLowerCase());
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }

  /**
   * Finds a service.
   * @param id The service's id.
   * @returns The service, or `undefined` if the configuration has none.
   */
  service(id: ServiceId): RelayService | undefined {
    return this.#services.get(id);
  }
}

/**
 * Chooses one of a route's services by weight.
 * @param route The route.
 * @param draw A random number in [0, 1).
 * @returns The service, or `undefined` if the total weight is 0.
 */
export function chooseTarget(
  route: Route,
  draw: number,
): ServiceId | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let rest = draw * total;
  for (const target of route.targets) {
    rest -= target.weight;
    if (rest < 0) return target.service;
  }
  return route.targets.findLast((target) => target.weight > 0)?.service;
}

function byLongestPrefix(left: Route, right: Route): number {
  return right.pathPrefix.length - left.pathPrefix.length;
}

function withoutPort(host: string): string {
  return host.replace(/:\d+$/, "");
}
