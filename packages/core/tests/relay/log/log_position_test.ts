import { eraOf, logPosition } from "@foxtailwind/core";
import test from "ava";

test("a position of a later era is higher than any earlier one", (t) => {
  const largestOffset = 2 ** 38 - 1;
  t.true(logPosition(2, 0) > logPosition(1, largestOffset));
  t.true(logPosition(1, 8) > logPosition(1, 7));
});

test("a position tells its era, exactly up to the highest one", (t) => {
  for (const era of [0, 1, 9_999]) {
    for (const offset of [0, 1, 2 ** 38 - 1]) {
      t.is(eraOf(logPosition(era, offset)), era);
    }
  }
  t.true(Number.isSafeInteger(logPosition(9_999, 2 ** 38 - 1) + 1));
});
