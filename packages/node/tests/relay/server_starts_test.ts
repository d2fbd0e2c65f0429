import {
  backendServerId,
  failureDomainId,
  instant,
  type RegisteredServer,
  serverStart,
  serviceId,
  softwareVersion,
} from "@foxtailwind/core";
import { BackendPools, ServerLoads } from "@foxtailwind/node/relay";
import test from "ava";

function server(start?: number): RegisteredServer {
  return {
    id: backendServerId("a"),
    ...(start === undefined ? {} : { start: serverStart(start) }),
    service: serviceId("s"),
    software: softwareVersion("1"),
    address: "127.0.0.1:1",
    failureDomain: failureDomainId("d"),
    leaving: false,
    slots: 1,
    models: [],
    orderCount: 0,
  };
}

test("connections to one start aren't used for the next one", async (t) => {
  const pools = new BackendPools();
  t.teardown(() => pools.destroy());
  const pool = (start?: number) => pools.getPool(server(start), 10, 1);
  const unknown = pool();
  const first = pool(10);
  t.is(first, unknown, "The start is reported later.");
  t.is(pool(), first, "The start isn't reported.");
  const second = pool(20);
  t.not(second, first);
  pools.retainOnly([server(20)]);
  t.is(pool(20), second);
  pools.retainOnly([server(30)]);
  t.not(pool(20), second, "It is closed before the next request.");
  pools.retainOnly([]);
  await t.throwsAsync(
    second.request({ method: "GET", path: "/" }),
    undefined,
    "No further request may use it.",
  );
});

test("failures of one start don't count against the next one", (t) => {
  const loads = new ServerLoads(failureDomainId("d"));
  const first = loads.loadOf(server(10));
  for (let failure = 0; failure < 3; failure += 1) {
    first.recordSend(instant(failure));
    first.recordResult(instant(failure), { kind: "dead" });
  }
  first.recordSend(instant(5));
  t.true(loads.loadOf(server(10)).isPaused(instant(10)));
  const second = loads.loadOf(server(20));
  t.false(second.isPaused(instant(10)));
  first.recordResult(instant(11), { kind: "dead" });
  t.is(second.running, 0);
  t.false(second.isPaused(instant(12)));
});
