import {
  type BackendServerId,
  backendServerId,
  instant,
  ServerReach,
  serviceId,
} from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import test from "ava";

const PLAIN = serviceId("plain");
const ENGINES = serviceId("engines");
const SERVERS: readonly BackendServerId[] = ["a", "b", "c"]
  .map(backendServerId);
const STEP_MILLISECONDS = 50;
/** Failed connections this old say nothing any more. */
const EVIDENCE_MILLISECONDS = 2_000;

// Guards against a node that forwards requests because servers are silent,
// slow or down, while it reaches others of the service.
test("a service is out of reach only after a probe of several failures, and until a connection", (t) => {
  for (let seed = 1; seed <= 200; seed += 1) {
    const random = new SeededRandom(seed);
    const reach = new ServerReach();
    const failedAt = new Map<BackendServerId, number>();
    let isUnreached = false;
    let probes = 0;
    for (let now = 0; now < 20_000; now += STEP_MILLISECONDS) {
      const isCut = Math.floor(now / 5_000) % 2 === 1;
      if (random.next() < 0.3) {
        const server = SERVERS[Math.floor(random.next() * SERVERS.length)];
        if (server === undefined) continue;
        if (isCut || random.next() < 0.2) {
          reach.recordFailure(instant(now), PLAIN, server);
          failedAt.set(server, now);
        } else {
          reach.recordConnected(PLAIN);
          failedAt.clear();
          isUnreached = false;
        }
      }
      if (reach.isProbeDue(instant(now), PLAIN, SERVERS.length)) {
        probes += 1;
        const recent = [...failedAt.values()]
          .filter((at) => now - at < EVIDENCE_MILLISECONDS);
        t.true(isUnreached || recent.length >= 2, `seed ${seed} at ${now}`);
        reach.recordProbe(instant(now), PLAIN);
        if (isCut) {
          reach.recordUnreached(PLAIN, [ENGINES]);
          isUnreached = true;
        } else {
          reach.recordConnected(PLAIN);
          failedAt.clear();
          isUnreached = false;
        }
      }
      t.is(reach.isUnreached(PLAIN), isUnreached, `seed ${seed} at ${now}`);
    }
    t.true(probes > 0, `seed ${seed}`);
  }
});

test("one server that can't be connected to leads to no probe, unless it is the only one", (t) => {
  const reach = new ServerReach();
  const [server] = SERVERS;
  if (server === undefined) return;
  reach.recordFailure(instant(0), PLAIN, server);
  reach.recordFailure(instant(100), PLAIN, server);
  t.false(reach.isProbeDue(instant(100), PLAIN, 3));
  t.true(reach.isProbeDue(instant(100), PLAIN, 1));
  t.false(reach.isProbeDue(instant(100), PLAIN, 0));
});

// Guards against a probe, and forwarded requests, for failures long ago.
test("a failed connection is evidence for a limited time", (t) => {
  const [first, second] = SERVERS;
  if (first === undefined || second === undefined) return;
  const isDueAfter = (pause: number) => {
    const reach = new ServerReach();
    reach.recordFailure(instant(0), PLAIN, first);
    reach.recordFailure(instant(pause), PLAIN, second);
    return reach.isProbeDue(instant(pause), PLAIN, SERVERS.length);
  };
  t.true(isDueAfter(EVIDENCE_MILLISECONDS - 1));
  t.false(isDueAfter(EVIDENCE_MILLISECONDS));
});

test("a service that is out of reach has the others probed once", (t) => {
  const reach = new ServerReach();
  t.true(reach.recordUnreached(PLAIN, [ENGINES]));
  t.true(reach.isProbeDue(instant(0), ENGINES, 3));
  reach.recordProbe(instant(0), ENGINES);
  reach.recordConnected(ENGINES);
  t.false(reach.isProbeDue(instant(1_000), ENGINES, 3));
  t.deepEqual(reach.unreachedServices, [PLAIN]);
});

test("a service that is out of reach is probed once a second", (t) => {
  const reach = new ServerReach();
  reach.recordUnreached(PLAIN, []);
  const probedAt: number[] = [];
  for (let now = 0; now < 5_000; now += STEP_MILLISECONDS) {
    if (!reach.isProbeDue(instant(now), PLAIN, 3)) continue;
    reach.recordProbe(instant(now), PLAIN);
    probedAt.push(now);
  }
  t.deepEqual(probedAt, [0, 1_000, 2_000, 3_000, 4_000]);
});
