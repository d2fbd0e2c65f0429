/** What the relay's soak checks of the orders that an engine carries out. */
import {
  RelaySoakRecord,
  SoakEngine,
  STAND_IN_MODEL,
} from "@foxtailwind/bench";
import {
  backendServerId,
  fencingNumber,
  milliseconds,
  nodeId,
} from "@foxtailwind/core";
import type { ClaimRecord } from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";

const ENGINE = "engine-1";
const FOLLOWED = "an_owner_that_was_followed_orders_no_more";

function claimOf(owner: string, engine = ENGINE): ClaimRecord {
  return {
    engine: backendServerId(engine),
    owner: nodeId(owner),
    incarnation: "run",
    wait: milliseconds(0),
  };
}

/** A node owns the engine, loses it to another one, and claims it again. */
const CLAIMS = [
  claimOf("node-1"),
  claimOf("node-2"),
  claimOf("node-1"),
  claimOf("node-2", "engine-2"),
];

function startEngine(t: ExecutionContext) {
  const record = new RelaySoakRecord();
  t.teardown(() => {
    record.stalls.stop();
  });
  const engine = new SoakEngine(ENGINE, "engines", {
    seed: 1,
    record,
    slots: 3,
    memoryAdapters: 3,
    software: "1",
    newestVersion: () => 1,
    findClaim: (position) => CLAIMS[position],
    onCrashingPart: () => undefined,
  });
  const order = (owner: string, fence: number) =>
    engine.carryOut({
      kind: "load",
      owner: nodeId(owner),
      fence: fencingNumber(fence),
      expectedOrders: engine.adapters.orderCount,
      model: STAND_IN_MODEL,
    }).kind;
  const broken = () => record.broken.map(({ invariant }) => invariant);
  return { order, broken };
}

// Guards against a report of orders that the engine's fence allows: they are
// noted by the claim that gave them, not by their owner's newest one.
test("a late order by an owner's earlier claim doesn't outdate the claim that followed it", (t) => {
  const { order, broken } = startEngine(t);
  t.is(order("node-1", 1), "accepted");
  t.is(order("node-2", 2), "accepted");
  t.is(order("node-1", 3), "accepted");
  t.is(order("node-2", 2), "fenced");
  t.deepEqual(broken(), []);
});

const FORGED: Readonly<Record<string, readonly [string, number]>> = {
  "that no claim gives": ["node-2", Number.MAX_SAFE_INTEGER],
  "of another owner's claim": ["node-2", 3],
  "of a claim to another engine": ["node-2", 4],
};

for (const [which, [owner, fence]] of Object.entries(FORGED)) {
  test(`an order with a fencing number ${which} is noticed`, (t) => {
    const { order, broken } = startEngine(t);
    t.is(order("node-1", 1), "accepted");
    t.is(order(owner, fence), "accepted");
    t.deepEqual(broken(), [FOLLOWED]);
  });
}
