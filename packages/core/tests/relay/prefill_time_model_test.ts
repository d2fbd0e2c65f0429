import { drawPrompts } from "@foxtailwind/bench";
import { milliseconds, PrefillTimeModel } from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import test from "ava";

/** The users' engines: fast ones, typical ones, and ones 1.3 times slower. */
const TOKEN_TIMES = [1 / 38.7, 1 / 19.2, 1.3 / 19.2];

/** At a prefill share of 0.8, a lower estimate leaves the engine no break. */
const MINIMUM_RATIO = 0.8;
/** Prompts fill half of the time on the busiest days; 0.8 of it must suffice. */
const MAXIMUM_RATIO = 0.8 / 0.5;

for (const tokenTime of TOKEN_TIMES) {
  test(`a prefill time of ${tokenTime.toFixed(3)} ms per token is learned from a hundred answers with queueing`, (t) => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const random = new SeededRandom(seed);
      const model = new PrefillTimeModel();
      for (const { tokens } of drawPrompts(0.3, seed).slice(0, 100)) {
        const waited = random.happens(0.3) ? 120 * random.next() : 0;
        model.observe(tokens, milliseconds(30 + waited + tokenTime * tokens));
      }
      const ratio = model.tokenTime / tokenTime;
      t.true(ratio > MINIMUM_RATIO, `seed ${seed}: ${ratio}`);
      t.true(ratio < MAXIMUM_RATIO, `seed ${seed}: ${ratio}`);
    }
  });
}

test("an answer delayed by queueing hardly counts", (t) => {
  const model = new PrefillTimeModel();
  const before = model.tokenTime;
  model.observe(2_000, milliseconds(5_000));
  t.true(model.tokenTime < 1.1 * before);
});

test("prompts of one size keep the prior for other sizes", (t) => {
  const model = new PrefillTimeModel();
  for (let count = 0; count < 5_000; count += 1) {
    model.observe(10, milliseconds(30));
  }
  t.true(model.tokenTime > 0.04 && model.tokenTime < 0.07);
});
