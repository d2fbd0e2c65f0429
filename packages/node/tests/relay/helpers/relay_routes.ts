import {
  milliseconds,
  type Route,
  seconds,
  serviceId,
} from "@foxtailwind/core";

/** The plain service of the tests. */
export const SERVICE = serviceId("plain");
/** Their service of engines. */
export const ENGINES = serviceId("engines");

const BASE: Omit<Route, "name" | "pathPrefix"> = {
  host: "one.example",
  repeatable: false,
  streams: false,
  resumable: false,
  attempts: 1,
  timeLimit: milliseconds(1_500),
  target: milliseconds(200),
  priority: 0,
  targets: [{ service: SERVICE, weight: 1 }],
};

/** Their routes, one of each kind. */
export const ROUTES: readonly Route[] = [
  { ...BASE, name: "once", pathPrefix: "/once/" },
  {
    ...BASE,
    name: "repeatable",
    pathPrefix: "/repeatable/",
    repeatable: true,
    attempts: 2,
  },
  { ...BASE, name: "stream", pathPrefix: "/stream/", streams: true },
  {
    ...BASE,
    name: "resumable",
    pathPrefix: "/resumable/",
    streams: true,
    resumable: true,
    attempts: 2,
  },
  {
    ...BASE,
    name: "short",
    pathPrefix: "/short/",
    timeLimit: milliseconds(150),
  },
  {
    ...BASE,
    name: "patient",
    pathPrefix: "/patient/",
    timeLimit: seconds(20),
  },
  {
    ...BASE,
    name: "engine",
    pathPrefix: "/engine/",
    timeLimit: seconds(5),
    targets: [{ service: ENGINES, weight: 1 }],
  },
];
