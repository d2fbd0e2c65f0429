import {
  backendServerId,
  failureDomainId,
  type RegisteredServer,
  type RelayService,
  type ServerStart,
  type ServiceId,
} from "@foxtailwind/core";
import { STAND_IN_MODEL } from "./stand_in_wire.ts";

/** A backend server of a stand-in's registry: what matters, the rest usual. */
export interface StandInServer {
  readonly id: string;
  readonly service: ServiceId;
  readonly start?: ServerStart;
  /** IP literal and port. */
  readonly address: string;
  /** Whether it is an engine, and holds the stand-ins' model. */
  readonly isEngine?: boolean;
  readonly leaving?: boolean;
  /** Whether it has just started again and holds no model yet. */
  readonly isEmpty?: boolean;
}

/** Requests that a stand-in runs at once. */
const SLOTS = 16;
/** The size of the one model and of an adapter, which always fit. */
const MEGABYTES = 1;
const ENGINE_MEGABYTES = 100;

/**
 * Describes a server as registries do.
 * @param server What matters of it.
 * @returns Its description.
 */
export function standInServer(server: StandInServer): RegisteredServer {
  const held = { model: STAND_IN_MODEL, adapters: new Map() };
  return {
    id: backendServerId(server.id),
    ...(server.start === undefined ? {} : { start: server.start }),
    service: server.service,
    address: server.address,
    failureDomain: failureDomainId("domain-a"),
    leaving: server.leaving ?? false,
    slots: SLOTS,
    models: server.isEngine === true && server.isEmpty !== true ? [held] : [],
    orderCount: 0,
  };
}

/**
 * Describes a service of engines.
 * @param id The service.
 * @param adapterSlots How many adapters fit on an engine.
 * @returns The service, as configurations have it.
 */
export function standInEngines(
  id: ServiceId,
  adapterSlots: number,
): RelayService {
  return {
    id,
    connectionLimit: 100,
    engine: {
      models: [{
        model: STAND_IN_MODEL,
        megabytes: MEGABYTES,
        adapterMegabytes: MEGABYTES,
      }],
      megabytes: ENGINE_MEGABYTES,
      adapterSlots,
    },
  };
}
