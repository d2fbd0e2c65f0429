import { instant, seconds, serviceId } from "@foxtailwind/core";
import { RetryBudgets } from "@foxtailwind/node/relay";
import type { NodeDigest, RetryUse } from "@foxtailwind/protocol";
import test from "ava";
import { nodeDigest } from "./helpers/node_digest.ts";

const SERVICE = serviceId("texts");

/** A peer with a report of its retries. */
function peerWith(id: string, retries: readonly RetryUse[]): NodeDigest {
  return nodeDigest(id, {
    engineStates: {
      engines: [],
      accounts: [],
      retries: [...retries],
      sequence: 1,
    },
  });
}

function createBudgets(
  peers: { present: readonly NodeDigest[] },
): RetryBudgets {
  return new RetryBudgets({
    limits: { retriesPerRequest: 0.2, reserve: 20, window: seconds(10) },
    presentPeers: () => peers.present,
    countNodes: () => ({ nodes: 2, isComplete: true }),
  });
}

function takeAll(budgets: RetryBudgets, now: number): number {
  let taken = 0;
  while (budgets.tryTake(instant(now), SERVICE) !== undefined) taken += 1;
  return taken;
}

// Guards against retries beyond the budget after a node has spent it and ended.
test("what an ended node has reported counts for a window", (t) => {
  const spent = {
    service: SERVICE,
    own: { requests: 0, retries: 10, unsettled: 0 },
    departed: undefined,
  };
  const peers = { present: [peerWith("n2", [spent])] };
  const budgets = createBudgets(peers);
  budgets.recordRequest(instant(0), SERVICE);
  budgets.refresh(instant(0));
  peers.present = [];
  budgets.refresh(instant(500));
  t.is(takeAll(budgets, 500), 4, "14 retries in all are allowed then.");
  budgets.refresh(instant(10_600));
  t.is(takeAll(budgets, 10_600), 4, "Its own part again.");
});

test("a node learns from a peer what a node that it never heard has spent", (t) => {
  const told = {
    service: SERVICE,
    own: { requests: 0, retries: 0, unsettled: 0 },
    departed: { requests: 0, retries: 12, unsettled: 0 },
  };
  const peers = { present: [peerWith("n2", [told])] };
  const budgets = createBudgets(peers);
  budgets.recordRequest(instant(0), SERVICE);
  budgets.refresh(instant(0));
  t.is(takeAll(budgets, 0), 2);
});

test("a node reports its retries, and nothing while there are none", (t) => {
  const budgets = createBudgets({ present: [] });
  for (let index = 0; index < 20; index += 1) {
    budgets.recordRequest(instant(0), SERVICE);
  }
  t.deepEqual(budgets.uses(instant(0)), []);
  budgets.tryTake(instant(0), SERVICE)?.settle(instant(0));
  budgets.tryTake(instant(0), SERVICE);
  t.deepEqual(budgets.uses(instant(0)), [{
    service: SERVICE,
    own: { requests: 16, retries: 2, unsettled: 1 },
    departed: undefined,
  }]);
});
