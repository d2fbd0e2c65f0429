import {
  milliseconds,
  type Route,
  seconds,
  serviceId,
} from "@foxtailwind/core";

/** A service of plain backend servers. */
export const PLAIN_SERVICE = serviceId("plain");
/** A service of model engines. */
export const ENGINE_SERVICE = serviceId("engines");

const BASE_ROUTE: Omit<Route, "name" | "pathPrefix"> = {
  host: "one.example",
  repeatable: false,
  streams: false,
  resumable: false,
  attempts: 1,
  timeLimit: milliseconds(1_500),
  target: milliseconds(200),
  priority: 0,
  targets: [{ service: PLAIN_SERVICE, weight: 1 }],
};

/** Routes for the tests, one of each kind. */
export const ROUTES: readonly Route[] = [
  { ...BASE_ROUTE, name: "once", pathPrefix: "/once/" },
  {
    ...BASE_ROUTE,
    name: "repeatable",
    pathPrefix: "/repeatable/",
    repeatable: true,
    attempts: 2,
  },
  { ...BASE_ROUTE, name: "stream", pathPrefix: "/stream/", streams: true },
  {
    ...BASE_ROUTE,
    name: "resumable",
    pathPrefix: "/resumable/",
    streams: true,
    resumable: true,
    attempts: 2,
  },
  {
    ...BASE_ROUTE,
    name: "long_resumable",
    pathPrefix: "/long_resumable/",
    streams: true,
    resumable: true,
    attempts: 2,
    timeLimit: seconds(8),
  },
  {
    ...BASE_ROUTE,
    name: "anonymous",
    pathPrefix: "/anonymous/",
    isAnonymous: true,
  },
  {
    ...BASE_ROUTE,
    name: "short",
    pathPrefix: "/short/",
    timeLimit: milliseconds(150),
  },
  {
    ...BASE_ROUTE,
    name: "patient",
    pathPrefix: "/patient/",
    timeLimit: seconds(20),
  },
  {
    ...BASE_ROUTE,
    name: "patient_stream",
    pathPrefix: "/patient_stream/",
    streams: true,
    timeLimit: seconds(20),
  },
  {
    ...BASE_ROUTE,
    name: "engine",
    pathPrefix: "/engine/",
    timeLimit: seconds(5),
    targets: [{ service: ENGINE_SERVICE, weight: 1 }],
  },
];
