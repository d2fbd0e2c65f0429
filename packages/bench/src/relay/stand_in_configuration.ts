import {
  milliseconds,
  type RelayConfiguration,
  seconds,
  serviceId,
} from "@foxtailwind/core";
import { standInEngines } from "./stand_in_server.ts";

/** The stand-ins' service of engines. */
export const STAND_IN_ENGINES = serviceId("engines");
/** The stand-ins' plain service. */
export const STAND_IN_LOOKUPS = serviceId("lookups");
/** The host that the stand-ins' routes are for. */
export const STAND_IN_HOST = "desk.example";

/**
 * Writes the stand-ins' configuration: a route of engines and a plain one.
 * @param version Its version.
 * @param slots How many adapters fit on an engine.
 * @returns The configuration.
 */
export function standInConfiguration(
  version: number,
  slots: number,
): RelayConfiguration {
  const base = {
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
        ...base,
        name: "drafts",
        pathPrefix: "/drafts/",
        repeatable: false,
        streams: true,
        targets: [{ service: STAND_IN_ENGINES, weight: 1 }],
      },
      {
        ...base,
        name: "lookups",
        pathPrefix: "/lookups/",
        repeatable: true,
        streams: false,
        targets: [{ service: STAND_IN_LOOKUPS, weight: 1 }],
      },
    ],
    services: [
      { id: STAND_IN_LOOKUPS, connectionLimit: 50 },
      standInEngines(STAND_IN_ENGINES, slots),
    ],
    limits: {
      headerBytes: 8_192,
      bodyBytes: 100_000,
      headerTime: seconds(5),
      idleTime: seconds(15),
    },
  };
}
