import {
  backendServerId,
  instant,
  requestId,
  serviceId,
  softwareVersion,
  type StreamOrigin,
  StreamOrigins,
} from "@foxtailwind/core";
import test from "ava";

const RETENTION_MILLISECONDS = 120_000;
const MAXIMUM_ORIGINS = 20_000;

function originOf(attempt: string, begunAt = 0, software = "1"): StreamOrigin {
  return {
    attempt: requestId(attempt),
    service: serviceId("s"),
    software: softwareVersion(software),
    server: backendServerId("a"),
    begunAt: instant(begunAt),
  };
}

test("finds what began a stream by the attempt that brought its first event", (t) => {
  const origins = new StreamOrigins();
  origins.add(instant(0), originOf("r1"));
  t.deepEqual(origins.find(requestId("r1")), originOf("r1"));
  t.is(origins.find(requestId("r2")), undefined);
});

test("an attempt that is reported again keeps its first origin", (t) => {
  const origins = new StreamOrigins();
  origins.add(instant(0), originOf("r1", 0, "1"));
  origins.add(instant(1), originOf("r1", 1, "2"));
  t.is(origins.find(requestId("r1"))?.software, softwareVersion("1"));
});

test("forgets streams that nobody waits for any longer", (t) => {
  const origins = new StreamOrigins();
  origins.add(instant(0), originOf("old", 0));
  origins.add(instant(0), originOf("recent", 1));
  origins.add(
    instant(RETENTION_MILLISECONDS),
    originOf("new", RETENTION_MILLISECONDS),
  );
  t.is(origins.find(requestId("old")), undefined);
  t.not(origins.find(requestId("recent")), undefined);
});

test("remembers a bounded number of streams, and forgets the oldest first", (t) => {
  const origins = new StreamOrigins();
  for (let index = 0; index <= MAXIMUM_ORIGINS; index += 1) {
    origins.add(instant(index), originOf(`r${index}`, index));
  }
  t.is(origins.size, MAXIMUM_ORIGINS);
  t.is(origins.find(requestId("r0")), undefined);
  t.not(origins.find(requestId(`r${MAXIMUM_ORIGINS}`)), undefined);
});

test("doesn't remember ids of any length", (t) => {
  const origins = new StreamOrigins();
  const long = "r".repeat(10_000);
  origins.add(instant(0), originOf(long));
  t.is(origins.find(requestId(long)), undefined);
  t.is(origins.size, 0);
});
