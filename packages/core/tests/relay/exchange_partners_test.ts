import {
  type ExchangeNode,
  exchangePartners,
  failureDomainId,
  nodeId,
} from "@foxtailwind/core";
import test from "ava";

function nodes(count: number, domains = 3): readonly ExchangeNode[] {
  return Array.from({ length: count }, (_, index) => ({
    id: nodeId(`n${String(index).padStart(3, "0")}`),
    failureDomain: failureDomainId(`d${index % domains}`),
    isServing: false,
  }));
}

/** The partners of each node if all nodes know each other. */
function partnersOfAll(all: readonly ExchangeNode[]) {
  return new Map(all.map((self) => {
    const others = all.filter((one) => one !== self);
    return [self.id, exchangePartners(self, others).partners];
  }));
}

/** Periods, of one round of calls each, until news of a node has reached all. */
function periodsToReachAll(all: readonly ExchangeNode[]): number {
  const partners = partnersOfAll(all);
  const newest = all.at(-1)?.id ?? nodeId("");
  // A node that asks also sends its own digest.
  let reached = new Set([newest, ...(partners.get(newest) ?? [])]);
  for (let periods = 1; periods < all.length; periods += 1) {
    const before = reached;
    reached = new Set([
      ...before,
      ...all.map(({ id }) => id).filter((id) =>
        partners.get(id)?.some((partner) => before.has(partner))
      ),
    ]);
    if (reached.size === all.length) return periods;
  }
  return Infinity;
}

test("few nodes form a full mesh without relaying", (t) => {
  const [self, ...others] = nodes(9);
  if (self === undefined) return t.fail();
  const { partners, isRelayed } = exchangePartners(self, others);
  t.deepEqual(partners, others.map(({ id }) => id));
  t.false(isRelayed);
});

for (const [count, domains] of [[61, 3], [300, 3], [1_500, 17]] as const) {
  test(`calls of ${count} nodes grow linearly, and news reaches all in five periods`, (t) => {
    const all = nodes(count, domains);
    const partners = [...partnersOfAll(all).values()];
    const calls = partners.reduce((sum, ids) => sum + ids.length, 0);
    t.true(calls < 2 * count, `${calls} calls a period`);
    t.true(periodsToReachAll(all) <= 5);
  });
}

test("a node whose hub is lost asks another hub of its failure domain", (t) => {
  const all = nodes(61);
  const self = all.at(-1);
  if (self === undefined) return t.fail();
  const others = all.filter((one) => one !== self);
  const [hub] = exchangePartners(self, others).partners;
  const left = others.filter(({ id }) => id !== hub);
  const [next] = exchangePartners(self, left).partners;
  t.not(next, hub);
  const domain = left.find(({ id }) => id === next)?.failureDomain;
  t.is(domain, self.failureDomain);
});

test("serving nodes are preferred as hubs", (t) => {
  const all = nodes(195, 5).map((node, index) => ({
    ...node,
    isServing: index >= 100 && index < 120,
  }));
  const serving = new Set(
    all.filter(({ isServing }) => isServing).map(({ id }) => id),
  );
  for (const [id, partners] of partnersOfAll(all)) {
    t.true(partners.every((partner) => serving.has(partner)), id);
  }
  t.true(periodsToReachAll(all) <= 5);
});
