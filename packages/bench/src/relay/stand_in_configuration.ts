import {
  milliseconds,
  type RelayConfiguration,
  seconds,
  serviceId,
} from "@foxtailwind/core";
import { standInEngineService } from "./stand_in_server.ts";

/** The id of the stand-in engine service. */
export const STAND_IN_ENGINE_SERVICE = serviceId("engines");
/** The id of the stand-in lookup service, which has no engines. */
export const STAND_IN_LOOKUP_SERVICE = serviceId("lookups");
/** The host of the stand-in routes. */
export const STAND_IN_HOST = "desk.example";

/**
 * Builds a configuration with a route to engines and one to lookup servers.
 * @param version The version of the configuration.
 * @param slots The number of adapter slots of an engine.
 * @param memoryAdapters The number of adapters that its memory holds, if that
 * is limited.
 * @returns The configuration.
 */
export function standInConfiguration(
  version: number,
  slots: number,
  memoryAdapters?: number,
): RelayConfiguration {
  const routeDefaults = {
    host: STAND_IN_HOST,
    resumable: false,
    attempts: 2,
    timeLimit: seconds(10),
    target: milliseconds(800),
    priority: 0,
  };
  return {
    version,
    routes: [
      {
        ...routeDefaults,
        name: "drafts",
        pathPrefix: "/drafts/",
        repeatable: false,
        streams: true,
        targets: [{ service: STAND_IN_ENGINE_SERVICE, weight: 1 }],
      },
      {
        ...routeDefaults,
        name: "notes",
        pathPrefix: "/notes/",
        repeatable: false,
        streams: true,
        resumable: true,
        targets: [{ service: STAND_IN_ENGINE_SERVICE, weight: 1 }],
      },
      {
        ...routeDefaults,
        name: "lookups",
        pathPrefix: "/lookups/",
        repeatable: true,
        streams: false,
        targets: [{ service: STAND_IN_LOOKUP_SERVICE, weight: 1 }],
      },
    ],
    services: [
      { id: STAND_IN_LOOKUP_SERVICE, connectionLimit: 50 },
      standInEngineService(STAND_IN_ENGINE_SERVICE, slots, memoryAdapters),
    ],
    limits: {
      headerBytes: 8_192,
      bodyBytes: 100_000,
      headerTime: seconds(5),
      idleTime: seconds(15),
    },
  };
}
