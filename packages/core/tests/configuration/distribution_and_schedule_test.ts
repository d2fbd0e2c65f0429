import test from "ava";
import {
  CLOCK_START,
  distributionPosition,
  failureDomainId,
  instant,
  isSnapshotDue,
  logOffset,
  nodeId,
  seconds,
  SNAPSHOT_SCHEDULE,
  type SnapshotScheduleInput,
} from "@foxtailwind/core";

const NODES = Array.from({ length: 60 }, (_, index) => ({
  id: nodeId(`node-${index}`),
  failureDomain: failureDomainId(`domain-${index % 3}`),
}));

test("each failure domain has one reader that all its nodes reach", (t) => {
  const places = new Map(
    NODES.map((node) => [node.id, distributionPosition(node, NODES, 4)]),
  );
  const readers = [...places.values()].filter((place) => place.readsLog);
  t.is(readers.length, 3);
  for (const place of places.values()) {
    let hops = 0;
    let current = place;
    while (current.parent !== undefined) {
      const above = places.get(current.parent);
      if (above === undefined) break;
      current = above;
      hops += 1;
    }
    t.true(current.readsLog);
    t.is(hops, place.depth);
    t.true(hops <= 3);
  }
});

test("no node serves more peers than the fanout", (t) => {
  const children = new Map<string, number>();
  for (const node of NODES) {
    const { parent } = distributionPosition(node, NODES, 4);
    if (parent === undefined) continue;
    children.set(parent, (children.get(parent) ?? 0) + 1);
  }
  t.true(Math.max(...children.values()) <= 4);
});

const INPUT: SnapshotScheduleInput = {
  now: instant(SNAPSHOT_SCHEDULE.interval),
  lastSeenAt: CLOCK_START,
  recordsSince: 1,
  covers: logOffset(10),
  firstKept: logOffset(0),
  rank: 0,
};

test("the first candidate writes a snapshot; the next ones wait", (t) => {
  t.true(isSnapshotDue(INPUT));
  t.false(isSnapshotDue({ ...INPUT, rank: 1 }));
  const later = instant(SNAPSHOT_SCHEDULE.interval + SNAPSHOT_SCHEDULE.grace);
  t.true(isSnapshotDue({ ...INPUT, rank: 1, now: later }));
});

test("many records, or retention past the last snapshot, make one due", (t) => {
  const soon = { ...INPUT, now: instant(seconds(1)) };
  t.false(isSnapshotDue(soon));
  t.true(isSnapshotDue({ ...soon, recordsSince: SNAPSHOT_SCHEDULE.records }));
  t.true(isSnapshotDue({ ...soon, firstKept: logOffset(12) }));
  t.false(isSnapshotDue({ ...soon, firstKept: logOffset(11) }));
});
