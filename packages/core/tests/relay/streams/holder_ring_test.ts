import {
  failureDomainId,
  type HolderCandidate,
  HolderRing,
  nodeId,
} from "@foxtailwind/core";
import test from "ava";

const DOMAINS = 3;
const HOLDERS = 6;
const KEYS = Array.from({ length: 2_000 }, (_, index) => `stream-${index}`);

function nodes(count: number): readonly HolderCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    id: nodeId(`node-${index}`),
    failureDomain: failureDomainId(`domain-${index % DOMAINS}`),
  }));
}

test("a key has as many holders as asked for, each once", (t) => {
  const ring = new HolderRing(nodes(20));
  for (const key of KEYS) {
    const holders = ring.holders(key, HOLDERS);
    t.is(new Set(holders).size, HOLDERS);
  }
});

test("a small cluster holds every key on all nodes", (t) => {
  const ring = new HolderRing(nodes(4));
  t.is(ring.holders("stream", HOLDERS).length, 4);
  t.deepEqual(new HolderRing([]).holders("stream", HOLDERS), []);
});

test("holders are spread evenly over failure domains", (t) => {
  const ring = new HolderRing(nodes(30));
  for (const key of KEYS) {
    const domains = ring.holders(key, HOLDERS).map((id) =>
      Number(id.split("-")[1]) % DOMAINS
    );
    for (let domain = 0; domain < DOMAINS; domain += 1) {
      const count = domains.filter((one) => one === domain).length;
      t.is(count, HOLDERS / DOMAINS);
    }
  }
});

test("a node that is gone leaves the other holders as they were", (t) => {
  const all = nodes(30);
  const before = new HolderRing(all);
  const after = new HolderRing(all.slice(1));
  for (const key of KEYS) {
    const kept = before.holders(key, HOLDERS).filter((id) => id !== "node-0");
    const now = after.holders(key, HOLDERS);
    t.true(kept.every((id) => now.includes(id)), key);
  }
});

test("no node holds far more keys than the others", (t) => {
  const ring = new HolderRing(nodes(30));
  const counts = new Map<string, number>();
  for (const key of KEYS) {
    for (const id of ring.holders(key, HOLDERS)) {
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
  }
  const mean = KEYS.length * HOLDERS / 30;
  t.true(Math.max(...counts.values()) < 3 * mean);
});
