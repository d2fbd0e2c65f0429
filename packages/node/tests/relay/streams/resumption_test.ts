import {
  backendServerId,
  instant,
  requestId,
  type Route,
  serviceId,
  softwareVersion,
} from "@foxtailwind/core";
import { chooseRequestTarget } from "@foxtailwind/node/relay";
import test from "ava";
import { ROUTES } from "../helpers/relay_routes.ts";

const OLD = serviceId("old");
const NEW = serviceId("new");
const ORIGIN = {
  attempt: requestId("r1"),
  service: OLD,
  software: softwareVersion("1"),
  server: backendServerId("a"),
  begunAt: instant(0),
};

const CALLER = {
  id: requestId("r2"),
  resumes: ORIGIN.attempt,
  lastEventId: "1",
  isForwarded: false,
};

/** A route for streams that is split between two services. */
function splitRoute(oldWeight: number, newWeight: number): Route {
  const route = ROUTES.find(({ name }) => name === "resumable");
  if (route === undefined) throw new RangeError("There is no such route.");
  return {
    ...route,
    targets: [
      { service: OLD, weight: oldWeight },
      { service: NEW, weight: newWeight },
    ],
  };
}

/** Resumes a stream whose origin is known to a node. */
async function resume(route: Route, draw: number) {
  const target = await chooseRequestTarget(
    {
      streams: {
        find: () => Promise.resolve({ kind: "known", origin: ORIGIN }),
        findArchived: () => Promise.resolve({ kind: "unknown" }),
      },
      streamRecorder: { findOnlySource: () => Promise.resolve(undefined) },
    },
    route,
    { caller: CALLER, path: `${route.pathPrefix}1`, draw },
  );
  return target.kind === "chosen" ? target.service : target.code;
}

// Guards against a stream that changes its service because a split is drawn anew.
test("a stream on a split route goes on at the service that began it", async (t) => {
  for (const draw of [0, 0.3, 0.6, 0.99]) {
    t.is(await resume(splitRoute(1, 99), draw), OLD);
  }
});

test("a stream isn't resumed at a service to which its route leads no longer", async (t) => {
  t.is(await resume(splitRoute(0, 1), 0.5), "moved_stream");
});
