import {
  type AdapterId,
  adapterId,
  milliseconds,
  type RelayConfiguration,
  type Route,
  seconds,
  serviceId,
} from "@foxtailwind/core";
import { standInEngineService } from "../../relay/stand_in_server.ts";
import { WORLD_SIZE } from "./world_size.ts";

/** The service of engines. */
export const ENGINES = serviceId("engines");
/** The plain service. */
export const PLAIN = serviceId("plain");
/** The longest time of every route. */
export const TIME_LIMIT = milliseconds(1_500);
/** How many servers may run one request. */
export const ATTEMPTS = 3;

/**
 * Describes a configuration of a soak.
 * @param version Its version.
 * @param hasExtra Whether it has the route that moves.
 * @param memoryAdapters The number of adapters that an engine's memory holds.
 * @returns The configuration.
 */
export function soakConfiguration(
  version: number,
  hasExtra: boolean,
  memoryAdapters: number,
): RelayConfiguration {
  const extra = plainRoute("extra", true);
  return {
    version,
    routes: [
      streamRoute("drafts", false),
      streamRoute("notes", true),
      plainRoute("once", false),
      plainRoute("lookups", true),
      ...(hasExtra ? [extra] : []),
    ],
    services: [
      { id: PLAIN, connectionLimit: 100 },
      standInEngineService(ENGINES, WORLD_SIZE.slots, memoryAdapters),
    ],
    limits: {
      headerBytes: 8_192,
      bodyBytes: 100_000,
      headerTime: seconds(5),
      idleTime: seconds(15),
    },
  };
}

function baseRoute(name: string) {
  return {
    name,
    host: "desk.example",
    pathPrefix: `/${name}/`,
    attempts: ATTEMPTS,
    timeLimit: TIME_LIMIT,
    target: milliseconds(150),
    priority: 0,
  };
}

function streamRoute(name: string, resumable: boolean): Route {
  return {
    ...baseRoute(name),
    repeatable: false,
    streams: true,
    resumable,
    targets: [{ service: ENGINES, weight: 1 }],
  };
}

function plainRoute(name: string, repeatable: boolean): Route {
  return {
    ...baseRoute(name),
    repeatable,
    streams: false,
    resumable: false,
    targets: [{ service: PLAIN, weight: 1 }],
  };
}

/**
 * Names an adapter of a soak.
 * @param number Which one.
 * @returns Its id.
 */
export function soakAdapter(number: number): AdapterId {
  return adapterId(`a${number}`);
}
