import {
  DEFAULT_MEMBERSHIP_TIMING,
  FailureDetector,
  failureDomainId,
  type Heartbeat,
  incarnationId,
  instant,
  type Member,
  NO_OFFSET,
  nodeId,
  regionId,
} from "@foxtailwind/core";
import test from "ava";

const START = instant(0);

function memberOf(name: string): Member {
  return {
    node: nodeId(name),
    incarnation: incarnationId("run-1"),
    generation: 1,
    region: regionId("region-1"),
    failureDomain: failureDomainId("domain-1"),
    weight: 1,
    address: name,
  };
}

function heartbeatOf(from: Member, leaving: boolean): Heartbeat {
  return { kind: "heartbeat", from, leaving, view: NO_OFFSET, digest: [] };
}

test("a silent peer is suspected until its next heartbeat", (t) => {
  const peer = memberOf("b");
  const detector = new FailureDetector(DEFAULT_MEMBERSHIP_TIMING, START);
  for (let now = 0; now <= 1_500; now += 300) {
    detector.tick(instant(now), [peer]);
  }
  t.is(detector.stateOf(peer), "suspected");
  detector.receiveHeartbeat(instant(1_600), heartbeatOf(peer, false));
  t.is(detector.stateOf(peer), undefined);
});

test("a node that was paused itself suspects no peer", (t) => {
  const peer = memberOf("b");
  const detector = new FailureDetector(DEFAULT_MEMBERSHIP_TIMING, START);
  detector.tick(START, [peer]);
  detector.tick(instant(10_000), [peer]);
  t.is(detector.stateOf(peer), undefined);
});

test("a report that a leaving run joins does not cancel its departure", (t) => {
  const peer = memberOf("b");
  const detector = new FailureDetector(DEFAULT_MEMBERSHIP_TIMING, START);
  detector.receiveHeartbeat(START, heartbeatOf(peer, true));
  detector.receiveHeartbeat(instant(100), {
    ...heartbeatOf(memberOf("c"), false),
    digest: [{
      node: peer.node,
      incarnation: peer.incarnation,
      state: "joining",
      age: 0,
      member: peer,
    }],
  });
  t.is(detector.stateOf(peer), "leaving");
});
