import {
  failureDomainId,
  heartbeatPeers,
  incarnationId,
  type Member,
  nodeId,
  regionId,
} from "@foxtailwind/core";
import test from "ava";

function membersOf(count: number, domains: number): readonly Member[] {
  return Array.from({ length: count }, (_, index) => ({
    node: nodeId(`node-${String(index).padStart(4, "0")}`),
    incarnation: incarnationId("run-1"),
    generation: 1,
    region: regionId("region-1"),
    failureDomain: failureDomainId(`domain-${String(index % domains)}`),
    weight: 1,
    address: "127.0.0.1:1",
  }));
}

test("the number of peers does not grow with the number of nodes", (t) => {
  for (const count of [9, 170, 1_500]) {
    const members = membersOf(count, 17);
    const counts = members.map((member) =>
      heartbeatPeers(members, member).length
    );
    t.true(Math.max(...counts) <= 4 + 2 * 16);
  }
});

test("heartbeat peers are symmetric", (t) => {
  const members = membersOf(40, 4);
  for (const member of members) {
    for (const peer of heartbeatPeers(members, member)) {
      t.true(heartbeatPeers(members, peer).includes(member));
    }
  }
});
