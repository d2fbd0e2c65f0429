import {
  type AddressCandidate,
  type AddressChoiceOptions,
  chooseAddresses,
  failureDomainId,
  nodeId,
  randomSource,
  regionId,
  seconds,
} from "@foxtailwind/core";
import test from "ava";

const DRAWS = 4_000;

function candidate(
  index: number,
  options: Partial<AddressCandidate> = {},
): AddressCandidate {
  return {
    node: nodeId(`node-${index}`),
    region: regionId("region-1"),
    failureDomain: failureDomainId(`domain-${index % 3}`),
    leaving: false,
    ...options,
  };
}

function sharesByFirstNode(
  candidates: readonly AddressCandidate[],
  failureDomain?: string,
): ReadonlyMap<string, number> {
  const random = randomSource(1);
  const shares = new Map<string, number>();
  for (let draw = 0; draw < DRAWS; draw += 1) {
    const query = failureDomain === undefined ? {} : { failureDomain };
    const options: AddressChoiceOptions = {
      maximumLifetime: seconds(10),
      random,
    };
    const [first = ""] = chooseAddresses(candidates, query, options).nodes;
    shares.set(first, (shares.get(first) ?? 0) + 1 / DRAWS);
  }
  return shares;
}

const NINE_NODES = Array.from({ length: 9 }, (_, index) => candidate(index));

test("callers that state nothing are spread evenly over all nodes", (t) => {
  for (const share of sharesByFirstNode(NINE_NODES).values()) {
    t.true(Math.abs(share - 1 / 9) < 0.02, `share ${share}`);
  }
});

test("callers are sent to their own failure domain", (t) => {
  const shares = sharesByFirstNode(NINE_NODES, "domain-1");
  t.deepEqual([...shares.keys()].sort(), ["node-1", "node-4", "node-7"]);
});

test("an overloaded node loses a bounded share of its callers", (t) => {
  const loaded = NINE_NODES.map((node, index) => ({
    ...node,
    load: index === 1 ? 1_000 : 10,
  }));
  const share = sharesByFirstNode(loaded, "domain-1").get("node-1") ?? 0;
  t.true(share > 0.05 && share < 0.2, `share ${share}`);
});

test("an overloaded domain keeps at least half of its callers", (t) => {
  const loaded = NINE_NODES.map((node, index) => ({
    ...node,
    load: index % 3 === 1 ? 1_000 : 10,
  }));
  const shares = sharesByFirstNode(loaded, "domain-1");
  const kept = ["node-1", "node-4", "node-7"].reduce(
    (sum, node) => sum + (shares.get(node) ?? 0),
    0,
  );
  t.true(kept > 0.45 && kept < 0.6, `kept ${kept}`);
});

test("a leaving node is never returned, even if it is the controller", (t) => {
  const answer = chooseAddresses(
    [candidate(0), candidate(1, { leaving: true })],
    { controller: nodeId("node-1"), failureDomain: "domain-1" },
    { maximumLifetime: seconds(10), random: randomSource(1) },
  );
  t.deepEqual(answer.nodes, [nodeId("node-0")]);
});
