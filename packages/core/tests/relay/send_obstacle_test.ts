import { findSendObstacle, instant } from "@foxtailwind/core";
import test from "ava";

const NOW = instant(1_000);
const ALLOWED = { hasCallerLeft: false, deadline: instant(1_001) };

test("a request is written unless its caller or its time prevents it", (t) => {
  t.is(findSendObstacle(NOW, ALLOWED), undefined);
  const obstacles = [
    findSendObstacle(NOW, { ...ALLOWED, hasCallerLeft: true }),
    findSendObstacle(NOW, { ...ALLOWED, deadline: NOW }),
  ];
  t.deepEqual(obstacles, ["caller_left", "deadline_over"]);
});
