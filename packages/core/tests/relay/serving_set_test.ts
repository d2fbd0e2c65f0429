import {
  failureDomainId,
  instant,
  isNamedToCallers,
  neededNodes,
  nodeId,
  owningNodes,
  type ServingCandidate,
  ServingSet,
} from "@foxtailwind/core";
import test from "ava";

const STRONG = 1.35;
const WEAK = 0.324;

/** VMs of a few failure domains, of which each has some strong ones. */
function nodes(
  count: number,
  domains: number,
  strongEach: number,
  load: (capacity: number) => number = () => 0,
): readonly ServingCandidate[] {
  return Array.from({ length: count }, (_, index) => {
    const domain = index % domains;
    const isStrong = Math.floor(index / domains) < strongEach;
    const capacity = isStrong ? STRONG : WEAK;
    return {
      id: nodeId(`n${String(index).padStart(4, "0")}`),
      failureDomain: failureDomainId(`d${domain}`),
      capacity,
      load: load(capacity),
    };
  });
}

function countByDomain(
  all: readonly ServingCandidate[],
  chosen: Iterable<string>,
): readonly number[] {
  const ids = new Set(chosen);
  const counts = new Map<string, number>();
  for (const { id, failureDomain } of all) {
    const count = counts.get(failureDomain) ?? 0;
    counts.set(failureDomain, count + (ids.has(id) ? 1 : 0));
  }
  return [...counts.values()];
}

test("few nodes all serve", (t) => {
  t.is(neededNodes(nodes(6, 3, 0)).length, 6);
  t.is(neededNodes(nodes(12, 4, 0)).length, 12);
});

for (
  const [count, domains, strongEach] of [
    [61, 3, 2],
    [195, 5, 3],
    [1_500, 17, 5],
  ] as const
) {
  test(`of ${count} idle nodes three of each domain serve, the strongest first`, (t) => {
    const all = nodes(count, domains, strongEach);
    const needed = neededNodes(all);
    t.deepEqual(countByDomain(all, needed), Array(domains).fill(3));
    const strong = all.filter(({ id, capacity }) =>
      needed.includes(id) && capacity === STRONG
    );
    t.is(strong.length, domains * Math.min(3, strongEach));
  });

  test(`of ${count} nodes under load as many serve as carry it at less than half of what they can`, (t) => {
    const all = nodes(
      count,
      domains,
      strongEach,
      (capacity) => capacity === STRONG ? 0.9 : 0,
    );
    const needed = new Set(neededNodes(all));
    for (let domain = 0; domain < domains; domain += 1) {
      const own = all.filter(({ failureDomain }) =>
        failureDomain === failureDomainId(`d${domain}`)
      );
      const demand = own.reduce((sum, one) => sum + one.capacity * one.load, 0);
      const carried = own.filter(({ id }) => needed.has(id))
        .reduce((sum, one) => sum + one.capacity, 0);
      const isAll = own.every(({ id }) => needed.has(id));
      t.true(isAll || demand / carried < 0.5, `${demand / carried}`);
    }
  });
}

test("where the serving nodes are killed together, others serve at the next look", (t) => {
  const all = nodes(195, 5, 3);
  const set = new ServingSet();
  const before = set.choose(instant(0), all);
  const left = all.filter(({ id }) => !before.has(id));
  const after = set.choose(instant(250), left);
  t.deepEqual(countByDomain(left, after), Array(5).fill(3));
});

test("traffic that jumps is met at once, and its nodes serve on for a while behind it", (t) => {
  const calm = nodes(61, 3, 2);
  const busy = nodes(61, 3, 2, (capacity) => capacity === STRONG ? 1 : 0.2);
  const set = new ServingSet();
  const before = set.choose(instant(0), calm);
  const during = set.choose(instant(250), busy);
  t.true(during.size > before.size);
  t.is(set.choose(instant(10_000), calm).size, during.size);
  t.is(set.choose(instant(15_250), calm).size, before.size);
});

test("a node that comes or goes moves nobody else of another domain", (t) => {
  const all = nodes(61, 3, 2);
  const [first] = all;
  const left = neededNodes(all.slice(1));
  const moved = neededNodes(all).filter((id) =>
    id !== first?.id && !left.includes(id)
  );
  t.deepEqual(moved, []);
});

test("callers are sent to a node as often as it can do more than others", (t) => {
  const weak = { id: nodeId("weak"), capacity: WEAK };
  const strong = { id: nodeId("strong"), capacity: STRONG };
  const answering = Array.from({ length: 1_000 }, (_, n) => nodeId(`n${n}`));
  const named = (node: typeof weak) =>
    answering.filter((id) => isNamedToCallers(id, node, STRONG)).length;
  t.is(named(strong), 1_000);
  t.true(Math.abs(named(weak) / 1_000 - WEAK / STRONG) < 0.05);
  t.is(named(weak), named(weak), "One node always answers the same.");
});

test("a load of a moment makes no weak node take engines", (t) => {
  const calm = nodes(61, 3, 2);
  const busy = nodes(61, 3, 2, () => 1);
  t.is(neededNodes(busy).length, 61);
  t.deepEqual(owningNodes(busy), neededNodes(calm));
});
