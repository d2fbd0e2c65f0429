import {
  HttpLogClient,
  HttpVmListClient,
  HttpWeightStoreClient,
} from "@foxtailwind/edges";
import type { Dispatcher } from "undici";
import type { Settings } from "../settings/settings.ts";

/** Clients of the platform's services. */
export interface PlatformClients {
  readonly log: HttpLogClient;
  readonly vmList: HttpVmListClient;
  readonly weightStore: HttpWeightStoreClient;
}

/**
 * Creates the clients of the platform's services.
 * @param settings The settings, which hold the services' addresses.
 * @param dispatcher The HTTP connection pool.
 * @returns The clients.
 */
export function makePlatformClients(
  { platform }: Settings,
  dispatcher: Dispatcher,
): PlatformClients {
  return {
    log: new HttpLogClient({
      baseAddress: platform.log,
      dispatcher,
      peer: "log",
    }),
    vmList: new HttpVmListClient({
      baseAddress: platform.vm_list,
      dispatcher,
      peer: "vm_list",
    }),
    weightStore: new HttpWeightStoreClient({
      baseAddress: platform.weight_store,
      dispatcher,
      peer: platform.weight_store_id,
    }),
  };
}
