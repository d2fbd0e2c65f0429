import { isDifferentStart, isOlderStart, serverStart } from "@foxtailwind/core";
import test from "ava";

const FIRST = serverStart(1_000);
const SECOND = serverStart(2_000);

test("two starts differ only if both are known", (t) => {
  t.true(isDifferentStart(FIRST, SECOND));
  t.false(isDifferentStart(FIRST, serverStart(1_000)));
  t.false(isDifferentStart(undefined, SECOND));
  t.false(isDifferentStart(FIRST, undefined));
});

test("a start is older only if both are known", (t) => {
  t.true(isOlderStart(FIRST, SECOND));
  t.false(isOlderStart(SECOND, FIRST));
  t.false(isOlderStart(FIRST, FIRST));
  t.false(isOlderStart(undefined, SECOND));
  t.false(isOlderStart(FIRST, undefined));
});
