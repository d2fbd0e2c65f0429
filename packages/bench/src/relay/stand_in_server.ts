import {
  backendServerId,
  failureDomainId,
  type RegisteredServer,
  type RelayService,
  type ServerStart,
  type ServiceId,
  softwareVersion,
} from "@foxtailwind/core";
import { STAND_IN_MODEL } from "./stand_in_wire.ts";

/** A backend server of the stand-in registry; other fields have defaults. */
export interface StandInServer {
  readonly id: string;
  readonly service: ServiceId;
  readonly start?: ServerStart;
  /** By default, all servers run the same version. */
  readonly software?: string;
  /** IP literal and port. */
  readonly address: string;
  /** Whether it is an engine, which holds {@link STAND_IN_MODEL}. */
  readonly isEngine?: boolean;
  readonly leaving?: boolean;
  /** Whether it has just restarted and holds no model yet. */
  readonly isEmpty?: boolean;
}

/** The software version of servers that state none. */
export const INITIAL_SOFTWARE = "1";
/** The number of requests that a server runs concurrently. */
const REQUEST_SLOTS = 16;
const MODEL_MEGABYTES = 1_000;
const ADAPTER_MEGABYTES = 66;
/** By default, memory holds more adapters than any stand-in has slots. */
const AMPLE_MEMORY_ADAPTERS = 1_000;

/**
 * Builds the registry entry of a server.
 * @param server The server.
 * @returns The entry.
 */
export function standInRegistryEntry(server: StandInServer): RegisteredServer {
  const loadedModel = { model: STAND_IN_MODEL, adapters: new Map() };
  return {
    id: backendServerId(server.id),
    ...(server.start === undefined ? {} : { start: server.start }),
    service: server.service,
    software: softwareVersion(server.software ?? INITIAL_SOFTWARE),
    address: server.address,
    failureDomain: failureDomainId("domain-a"),
    leaving: server.leaving ?? false,
    slots: REQUEST_SLOTS,
    models: server.isEngine === true && server.isEmpty !== true
      ? [loadedModel]
      : [],
    orderCount: 0,
  };
}

/**
 * Builds the configuration of an engine service.
 * @param id The id of the service.
 * @param adapterSlots The number of adapter slots of an engine.
 * @param memoryAdapters The number of adapters that its memory holds.
 * @returns The configuration of the service.
 */
export function standInEngineService(
  id: ServiceId,
  adapterSlots: number,
  memoryAdapters = AMPLE_MEMORY_ADAPTERS,
): RelayService {
  return {
    id,
    connectionLimit: 100,
    engine: {
      models: [{
        model: STAND_IN_MODEL,
        megabytes: MODEL_MEGABYTES,
        adapterMegabytes: ADAPTER_MEGABYTES,
      }],
      // Not quite enough for one adapter more.
      megabytes: MODEL_MEGABYTES + (memoryAdapters + 1) * ADAPTER_MEGABYTES - 1,
      adapterSlots,
    },
  };
}
