import { type BackendServerId, backendServerId } from "@foxtailwind/core";
import type { ModelServer } from "./model_server.ts";
import type { ModelWorld } from "./model_world.ts";

/** What happens to a service while calls go to it. */
export interface ServiceScenario {
  readonly name: string;
  /** The load, as a share of what all servers can do. */
  readonly load: number;
  readonly begin: (world: ModelWorld) => void;
}

const FAULT_AT_MILLISECONDS = 5_000;
const LEAVES_AFTER_MILLISECONDS = 4_000;
const SLOWNESS = 10;
const ORDINARY_LOAD = 0.5;
const OVERLOAD = 1.5;

/** The server to which all that is wrong happens. */
export const FAULTY_SERVER: BackendServerId = backendServerId("server-1");

/** The scenarios, each measured for each policy. */
export const SERVICE_SCENARIOS: readonly ServiceScenario[] = [
  { name: "steady", load: ORDINARY_LOAD, begin: () => undefined },
  faulty("one slow server", (server) => {
    server.faults.slowness = SLOWNESS;
  }),
  faulty("one failing server", (server) => {
    server.faults.failShare = 1;
  }),
  faulty("one hanging server", (server) => {
    server.faults.isHanging = true;
  }),
  faulty("one leaving server", (server, world) => {
    server.faults.isLeaving = true;
    world.listAsLeaving(FAULTY_SERVER);
    world.timeline.after(LEAVES_AFTER_MILLISECONDS, () => {
      server.faults.isClosed = true;
    });
  }),
  { name: "overload", load: OVERLOAD, begin: () => undefined },
];

function faulty(
  name: string,
  strike: (server: ModelServer, world: ModelWorld) => void,
): ServiceScenario {
  return {
    name,
    load: ORDINARY_LOAD,
    begin(world) {
      world.timeline.after(FAULT_AT_MILLISECONDS, () => {
        const server = world.servers.get(FAULTY_SERVER);
        if (server !== undefined) strike(server, world);
      });
    },
  };
}
