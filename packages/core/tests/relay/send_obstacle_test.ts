import { findSendObstacle, instant, milliseconds } from "@foxtailwind/core";
import test from "ava";

const NOW = instant(1_000);
const ALLOWED = {
  hasCallerLeft: false,
  deadline: instant(1_001),
  isServerPresent: true,
  backoff: milliseconds(0),
};

test("a request is written unless its caller, its time or its server prevents it", (t) => {
  t.is(findSendObstacle(NOW, ALLOWED), undefined);
  const obstacles = [
    findSendObstacle(NOW, { ...ALLOWED, hasCallerLeft: true }),
    findSendObstacle(NOW, { ...ALLOWED, deadline: NOW }),
    findSendObstacle(NOW, { ...ALLOWED, isServerPresent: false }),
    findSendObstacle(NOW, { ...ALLOWED, backoff: milliseconds(1) }),
  ];
  t.deepEqual(obstacles, [
    "caller_left",
    "deadline_over",
    "server_leaves",
    "server_backoff",
  ]);
});
