import {
  backendServerId,
  failureDomainId,
  instant,
  type RegisteredServer,
  serverStart,
  serviceId,
} from "@foxtailwind/core";
import { BackendPools, ServerLoads } from "@foxtailwind/node/relay";
import test from "ava";

function server(start?: number): RegisteredServer {
  return {
    id: backendServerId("a"),
    ...(start === undefined ? {} : { start: serverStart(start) }),
    service: serviceId("s"),
    address: "127.0.0.1:1",
    failureDomain: failureDomainId("d"),
    leaving: false,
    slots: 1,
    models: [],
    orderCount: 0,
  };
}

test("connections to a start are not used for the next one", async (t) => {
  const pools = new BackendPools();
  t.teardown(() => pools.destroy());
  const pool = (start?: number) => pools.pool(server(start), 10, 1);
  const unknown = pool();
  const first = pool(10);
  t.is(first, unknown, "Told later.");
  t.is(pool(), first, "Not told.");
  const second = pool(20);
  t.not(second, first);
  pools.retain([server(20)]);
  t.is(pool(20), second);
  pools.retain([server(30)]);
  t.not(pool(20), second, "Closed before the next request.");
  pools.retain([]);
  await t.throwsAsync(
    second.request({ method: "GET", path: "/" }),
    undefined,
    "No request may use it any more.",
  );
});

test("what was seen of a start is not held against the next one", (t) => {
  const loads = new ServerLoads(failureDomainId("d"));
  const first = loads.of(server(10));
  for (let dead = 0; dead < 3; dead += 1) {
    first.recordSend(instant(dead));
    first.recordResult(instant(dead), { kind: "dead" });
  }
  first.recordSend(instant(5));
  t.true(loads.of(server(10)).isPaused(instant(10)));
  const second = loads.of(server(20));
  t.false(second.isPaused(instant(10)));
  first.recordResult(instant(11), { kind: "dead" });
  t.is(second.running, 0);
  t.false(second.isPaused(instant(12)));
});
