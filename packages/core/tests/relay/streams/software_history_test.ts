import {
  backendServerId,
  failureDomainId,
  instant,
  mayContinue,
  type RegisteredServer,
  serviceId,
  SoftwareHistory,
  softwareVersion,
} from "@foxtailwind/core";
import test from "ava";

function serverWith(software: string, service = "s"): RegisteredServer {
  return {
    id: backendServerId("a"),
    service: serviceId(service),
    software: softwareVersion(software),
    address: "127.0.0.1:1",
    failureDomain: failureDomainId("d"),
    leaving: false,
    slots: 1,
    models: [],
    orderCount: 0,
  };
}

function begunAt(milliseconds: number, software: string) {
  return {
    server: backendServerId("a"),
    software: softwareVersion(software),
    begunAt: instant(milliseconds),
  };
}

test("a stream continues only at its own service and software", (t) => {
  const origin = {
    service: serviceId("s"),
    software: softwareVersion("1"),
  };
  t.true(mayContinue(origin, serverWith("1")));
  t.false(mayContinue(origin, serverWith("2")));
  t.false(mayContinue(origin, serverWith("1", "other")));
});

// Guards against streams that are filed under the software that the registry
// names, while another start has already answered under the same id.
test("a stream that began shortly before its server is known to have other software is uncertain", (t) => {
  const changes = new SoftwareHistory();
  changes.record(instant(0), serverWith("1"));
  t.false(changes.isUncertain(begunAt(9_000, "1")));
  changes.record(instant(10_000), serverWith("2"));
  t.true(changes.isUncertain(begunAt(9_000, "1")));
  t.true(changes.isUncertain(begunAt(10_500, "1")));
  t.false(changes.isUncertain(begunAt(7_900, "1")), "It began long before.");
  t.false(changes.isUncertain(begunAt(10_500, "2")));
});

test("a restart with the same software leaves no doubt", (t) => {
  const changes = new SoftwareHistory();
  changes.record(instant(0), serverWith("1"));
  changes.record(instant(10_000), serverWith("1"));
  t.false(changes.isUncertain(begunAt(9_900, "1")));
});

test("a server that is new is no change of software", (t) => {
  const changes = new SoftwareHistory();
  changes.record(instant(10_000), serverWith("2"));
  t.false(changes.isUncertain(begunAt(9_900, "1")));
});
