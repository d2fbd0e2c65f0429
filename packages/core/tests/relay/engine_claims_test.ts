import {
  type BackendServerId,
  backendServerId,
  type ClusterView,
  EngineClaims,
  instant,
  logOffset,
  logPosition,
  milliseconds,
  type NodeId,
  nodeId,
  rendezvousOrder,
} from "@foxtailwind/core";
import test from "ava";

const ENGINE = backendServerId("engine");
const NODES = [nodeId("n1"), nodeId("n2"), nodeId("n3")];
const [FIRST = NODES[0], SECOND = NODES[1]] = rendezvousOrder(ENGINE, NODES);
const LEASE = milliseconds(3_000);
const NOBODY: ReadonlySet<NodeId> = new Set();

function claims(id = FIRST, incarnation = "run-1"): EngineClaims {
  return new EngineClaims({ id: id ?? nodeId("n1"), incarnation }, LEASE);
}

function claim(
  owner = FIRST,
  offset = 1,
  wait = 0,
  seenAt = 0,
  incarnation = "run-1",
) {
  return {
    engine: ENGINE,
    owner: owner ?? nodeId("n1"),
    incarnation,
    wait: milliseconds(wait),
    offset: logOffset(offset),
    seenAt: instant(seenAt),
  };
}

const NO_ENGINES: ReadonlySet<BackendServerId> = new Set();

test("exactly one of the present nodes claims an unclaimed engine", (t) => {
  const claiming = NODES.filter((node) =>
    claims(node).enginesToClaim(instant(0), {
      engines: [ENGINE],
      nodes: NODES,
      candidates: NODES,
      stoppedNodes: NOBODY,
      enginesOfPeers: NO_ENGINES,
    })
      .length > 0
  );
  t.deepEqual(claiming, [FIRST]);
});

test("a first owner may send orders at once, a later one after the lease", (t) => {
  const first = claims();
  first.apply(claim(FIRST, 7));
  t.deepEqual(
    first.orderPermission(ENGINE),
    { fence: 8, validFrom: 0 } as never,
  );
  const second = claims(SECOND);
  second.apply(claim(SECOND, 9, LEASE, 500));
  t.is(second.orderPermission(ENGINE)?.validFrom, instant(3_500));
});

test("a claim by another node ends the permission to send orders", (t) => {
  const first = claims();
  first.apply(claim(FIRST, 7));
  first.apply(claim(SECOND, 9, LEASE));
  t.is(first.orderPermission(ENGINE), undefined);
  t.is(first.owner(ENGINE), SECOND);
  first.apply(claim(FIRST, 7));
  t.is(first.owner(ENGINE), SECOND, "An older claim changes nothing.");
});

test("a restarted node may not use its earlier run's claim and claims again", (t) => {
  const restarted = claims(FIRST, "run-2");
  restarted.apply(claim(FIRST, 7));
  t.is(restarted.orderPermission(ENGINE), undefined);
  const view: ClusterView = {
    engines: [ENGINE],
    nodes: NODES,
    candidates: NODES,
    stoppedNodes: NOBODY,
    enginesOfPeers: NO_ENGINES,
  };
  t.deepEqual(restarted.enginesToClaim(instant(0), view), [ENGINE]);
});

test("a fencing number that an engine refused is not used again", (t) => {
  const first = claims();
  first.apply(claim(FIRST, 7));
  const right = first.orderPermission(ENGINE);
  t.truthy(right);
  if (right !== undefined) first.recordRefusal(ENGINE, right.fence);
  t.is(first.orderPermission(ENGINE), undefined);
  first.apply(claim(FIRST, 12, LEASE));
  t.is(first.orderPermission(ENGINE)?.fence, 13 as never);
});

test("an engine is claimed from a silent owner only after the minimum tenure", (t) => {
  const second = claims(SECOND);
  second.apply(claim(FIRST, 7, 0, 1_000));
  const others = NODES.filter((node) => node !== FIRST);
  const view: ClusterView = {
    engines: [ENGINE],
    nodes: others,
    candidates: others,
    stoppedNodes: NOBODY,
    enginesOfPeers: NO_ENGINES,
  };
  t.deepEqual(second.enginesToClaim(instant(6_000), view), []);
  t.deepEqual(second.enginesToClaim(instant(7_000), view), [ENGINE]);
  t.deepEqual(
    second.enginesToClaim(instant(7_000), {
      engines: [ENGINE],
      nodes: NODES,
      candidates: NODES,
      stoppedNodes: NOBODY,
      enginesOfPeers: NO_ENGINES,
    }),
    [],
  );
});

test("an engine of a node that announced its stop is claimed at once and ordered soon", (t) => {
  const second = claims(SECOND);
  second.apply(claim(FIRST, 7, 0, 1_000));
  const left = new Set(FIRST === undefined ? [] : [FIRST]);
  const nodes = NODES.filter((node) => node !== FIRST);
  t.deepEqual(
    second.enginesToClaim(instant(1_001), {
      engines: [ENGINE],
      nodes,
      candidates: nodes,
      stoppedNodes: left,
      enginesOfPeers: NO_ENGINES,
    }),
    [ENGINE],
  );
  t.true(second.waitAfterClaim(ENGINE, left) < 500);
  t.is(second.waitAfterClaim(ENGINE, NOBODY), LEASE);
});

test("a restarted node waits only if another node has owned the engine since", (t) => {
  const restarted = claims(FIRST, "run-2");
  restarted.apply(claim(FIRST, 7));
  t.deepEqual(restarted.enginesToReclaim([ENGINE]), [ENGINE]);
  t.is(restarted.waitAfterClaim(ENGINE, NOBODY), milliseconds(0));
  restarted.apply(claim(SECOND, 9, LEASE));
  t.deepEqual(restarted.enginesToReclaim([ENGINE]), []);
  t.is(restarted.waitAfterClaim(ENGINE, NOBODY), LEASE);
});

test("candidates claim unowned engines, but not those of a present owner that is no candidate", (t) => {
  const unowned: ClusterView = {
    engines: [ENGINE],
    nodes: NODES,
    candidates: NODES.filter((node) => node !== FIRST),
    stoppedNodes: NOBODY,
    enginesOfPeers: NO_ENGINES,
  };
  t.deepEqual(claims(FIRST).enginesToClaim(instant(0), unowned), []);
  t.deepEqual(claims(SECOND).enginesToClaim(instant(0), unowned), [ENGINE]);
  const second = claims(SECOND);
  second.apply(claim(FIRST, 7));
  t.deepEqual(second.enginesToClaim(instant(60_000), unowned), []);
});

/** The view of a node that knows all nodes. */
function wholeView(enginesOfPeers = NO_ENGINES): ClusterView {
  return {
    engines: [ENGINE],
    nodes: NODES,
    candidates: NODES,
    stoppedNodes: NOBODY,
    enginesOfPeers,
  };
}

// Guards against two owners after the log has lost a claim.
test("an owner claims again at once what the log may have lost, and its fencing number rises", (t) => {
  const first = claims();
  first.apply(claim(FIRST, 95));
  const before = first.orderPermission(ENGINE)?.fence ?? Infinity;
  first.recordRestore(2);
  t.not(first.orderPermission(ENGINE), undefined, "It goes on meanwhile.");
  t.deepEqual(first.enginesToClaim(instant(0), wholeView()), [ENGINE]);
  t.deepEqual(first.enginesToReclaim([ENGINE]), [ENGINE]);
  t.is(first.waitAfterClaim(ENGINE, NOBODY), milliseconds(0));
  first.apply(claim(FIRST, logPosition(2, 80)));
  t.deepEqual(first.enginesToClaim(instant(0), wholeView()), []);
  t.true((first.orderPermission(ENGINE)?.fence ?? 0) > before);
});

test("a claim at an offset that was given out again replaces one of the era before", (t) => {
  const first = claims();
  first.apply(claim(FIRST, logPosition(1, 95)));
  first.apply(claim(SECOND, logPosition(2, 85), LEASE));
  t.is(first.owner(ENGINE), SECOND);
  t.is(first.orderPermission(ENGINE), undefined);
  first.apply(claim(FIRST, logPosition(1, 99)));
  t.is(first.owner(ENGINE), SECOND);
});

test("a node that knows no claim leaves an engine to a peer that says it owns it", (t) => {
  const named = new Set([ENGINE]);
  t.deepEqual(claims(FIRST).enginesToClaim(instant(0), wholeView(named)), []);
  t.deepEqual(
    claims(FIRST).enginesToClaim(instant(0), wholeView()),
    [ENGINE],
  );
});
