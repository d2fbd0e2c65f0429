import {
  failureDomainId,
  instant,
  isAdvertised,
  nodeId,
  ownerCandidates,
  requiredNodes,
  type ServingCandidate,
  ServingSet,
} from "@foxtailwind/core";
import test from "ava";

const STRONG = 1.35;
const WEAK = 0.324;

/** VMs in some failure domains, with some strong ones in each. */
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
  t.is(requiredNodes(nodes(6, 3, 0)).length, 6);
  t.is(requiredNodes(nodes(12, 4, 0)).length, 12);
});

for (
  const [count, domains, strongEach] of [
    [61, 3, 2],
    [195, 5, 3],
    [1_500, 17, 5],
  ] as const
) {
  test(`three of each domain of ${count} idle nodes serve, the most capable first`, (t) => {
    const all = nodes(count, domains, strongEach);
    const needed = requiredNodes(all);
    t.deepEqual(countByDomain(all, needed), Array(domains).fill(3));
    const strong = all.filter(({ id, capacity }) =>
      needed.includes(id) && capacity === STRONG
    );
    t.is(strong.length, domains * Math.min(3, strongEach));
  });

  test(`enough of ${count} nodes serve to carry the load at less than half their capacity`, (t) => {
    const all = nodes(
      count,
      domains,
      strongEach,
      (capacity) => capacity === STRONG ? 0.9 : 0,
    );
    const needed = new Set(requiredNodes(all));
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

test("others serve at the next choice after all serving nodes are killed together", (t) => {
  const all = nodes(195, 5, 3);
  const set = new ServingSet();
  const before = set.choose(instant(0), all);
  const left = all.filter(({ id }) => !before.has(id));
  const after = set.choose(instant(250), left);
  t.deepEqual(countByDomain(left, after), Array(5).fill(3));
});

test("a traffic jump adds nodes at once, and they serve on for a while after it", (t) => {
  const calm = nodes(61, 3, 2);
  const busy = nodes(61, 3, 2, (capacity) => capacity === STRONG ? 1 : 0.2);
  const set = new ServingSet();
  const before = set.choose(instant(0), calm);
  const during = set.choose(instant(250), busy);
  t.true(during.size > before.size);
  t.is(set.choose(instant(10_000), calm).size, during.size);
  t.is(set.choose(instant(15_250), calm).size, before.size);
});

test("removing a node stops no other node from serving", (t) => {
  const all = nodes(61, 3, 2);
  const [first] = all;
  const left = requiredNodes(all.slice(1));
  const moved = requiredNodes(all).filter((id) =>
    id !== first?.id && !left.includes(id)
  );
  t.deepEqual(moved, []);
});

test("callers are sent to nodes in proportion to their capacity", (t) => {
  const weak = { id: nodeId("weak"), capacity: WEAK };
  const strong = { id: nodeId("strong"), capacity: STRONG };
  const answering = Array.from({ length: 1_000 }, (_, n) => nodeId(`n${n}`));
  const named = (node: typeof weak) =>
    answering.filter((id) => isAdvertised(id, node, STRONG)).length;
  t.is(named(strong), 1_000);
  t.true(Math.abs(named(weak) / 1_000 - WEAK / STRONG) < 0.05);
  t.is(named(weak), named(weak), "A node always gives the same answer.");
});

test("a load peak does not make weak nodes claim engines", (t) => {
  const calm = nodes(61, 3, 2);
  const busy = nodes(61, 3, 2, () => 1);
  t.is(requiredNodes(busy).length, 61);
  t.deepEqual(ownerCandidates(busy), requiredNodes(calm));
});
