import { type BackendServerId, backendServerId } from "@foxtailwind/core";
import type { ModelServer } from "./model_server.ts";
import type { ModelWorld } from "./model_world.ts";

/** The load on a service and the faults of its servers. */
export interface ServiceScenario {
  readonly name: string;
  /** The load as a share of the capacity of all servers. */
  readonly relativeLoad: number;
  readonly start: (world: ModelWorld) => void;
}

const FAULT_TIME_MILLISECONDS = 5_000;
const CLOSE_DELAY_MILLISECONDS = 4_000;
const SLOWDOWN_FACTOR = 10;
const ORDINARY_LOAD = 0.5;
const OVERLOAD = 1.5;

/** The server that has the faults of every scenario. */
export const FAULTY_SERVER: BackendServerId = backendServerId("server-1");

/** The scenarios; each is measured with every policy. */
export const SERVICE_SCENARIOS: readonly ServiceScenario[] = [
  { name: "steady", relativeLoad: ORDINARY_LOAD, start: () => undefined },
  faultScenario("one slow server", (server) => {
    server.faults.slowdown = SLOWDOWN_FACTOR;
  }),
  faultScenario("one failing server", (server) => {
    server.faults.failShare = 1;
  }),
  faultScenario("one hanging server", (server) => {
    server.faults.isHanging = true;
  }),
  faultScenario("one leaving server", (server, world) => {
    server.faults.isLeaving = true;
    world.listAsLeaving(FAULTY_SERVER);
    world.timeline.schedule(CLOSE_DELAY_MILLISECONDS, () => {
      server.faults.isClosed = true;
    });
  }),
  { name: "overload", relativeLoad: OVERLOAD, start: () => undefined },
];

function faultScenario(
  name: string,
  injectFault: (server: ModelServer, world: ModelWorld) => void,
): ServiceScenario {
  return {
    name,
    relativeLoad: ORDINARY_LOAD,
    start(world) {
      world.timeline.schedule(FAULT_TIME_MILLISECONDS, () => {
        const server = world.servers.get(FAULTY_SERVER);
        if (server !== undefined) injectFault(server, world);
      });
    },
  };
}
