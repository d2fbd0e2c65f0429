import {
  HttpLogClient,
  HttpVmListClient,
  HttpWeightStoreClient,
} from "@foxtailwind/edges";
import type { Dispatcher } from "undici";
import type { Settings } from "../settings/settings.ts";

/** Clients of what the platform offers a node. */
export interface PlatformClients {
  readonly log: HttpLogClient;
  readonly vmList: HttpVmListClient;
  readonly weightStore: HttpWeightStoreClient;
}

/**
 * Makes the clients of the platform.
 * @param settings Where its parts are.
 * @param dispatcher The connections.
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
