import {
  chooseTarget,
  milliseconds,
  type Route,
  RouteTable,
  serviceId,
} from "@foxtailwind/core";
import test from "ava";

function route(name: string, host: string, pathPrefix: string): Route {
  return {
    name,
    host,
    pathPrefix,
    repeatable: true,
    streams: false,
    resumable: false,
    attempts: 1,
    timeLimit: milliseconds(1_000),
    target: milliseconds(100),
    priority: 0,
    targets: [{ service: serviceId("a"), weight: 1 }],
  };
}

function table(routes: readonly Route[]): RouteTable {
  return new RouteTable({
    version: 1,
    routes,
    services: [{ id: serviceId("a"), connectionLimit: 10 }],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTime: milliseconds(1),
      idleTime: milliseconds(1),
    },
  });
}

test("the longest prefix of the request's host wins", (t) => {
  const routes = table([
    route("short", "one.example", "/a/"),
    route("long", "one.example", "/a/b/"),
    route("other", "two.example", "/a/b/c/"),
  ]);
  const found = (host: string, path: string) => routes.find(host, path)?.name;
  t.is(found("one.example", "/a/b/c/d"), "long");
  t.is(found("one.example", "/a/x"), "short");
  t.is(found("one.example:8080", "/a/x"), "short");
  t.is(found("One.Example", "/a/x"), "short");
  t.is(found("two.example", "/a/b/c/"), "other");
  t.is(found("one.example", "/a"), undefined);
  t.is(found("three.example", "/a/"), undefined);
});

test("targets are chosen by weight, never one without weight", (t) => {
  const split: Route = {
    ...route("split", "one.example", "/"),
    targets: [
      { service: serviceId("a"), weight: 90 },
      { service: serviceId("b"), weight: 10 },
      { service: serviceId("c"), weight: 0 },
    ],
  };
  t.is(chooseTarget(split, 0), serviceId("a"));
  t.is(chooseTarget(split, 0.89), serviceId("a"));
  t.is(chooseTarget(split, 0.91), serviceId("b"));
  t.is(chooseTarget(split, 0.999999), serviceId("b"));
  t.is(chooseTarget({ ...split, targets: [] }, 0.5), undefined);
});

test("a service is found by its id", (t) => {
  const routes = table([]);
  t.is(routes.service(serviceId("a"))?.connectionLimit, 10);
  t.is(routes.service(serviceId("b")), undefined);
});
