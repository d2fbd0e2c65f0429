import { milliseconds, RequestDurations, seconds } from "@foxtailwind/core";
import test from "ava";

const TIME_LIMIT = seconds(10);

function recordGenerations(
  durations: RequestDurations,
  outputTokens: number,
  count = 40,
): void {
  for (let call = 0; call < count; call += 1) {
    durations.record("notes", {
      outputTokens,
      total: milliseconds(500 + 20 * outputTokens),
      run: milliseconds(300 + 20 * outputTokens),
    });
  }
}

function request(outputTokens: number) {
  return { route: "notes", outputTokens, timeLimit: TIME_LIMIT };
}

test("without knowledge a request may take as long as its time limit", (t) => {
  const durations = new RequestDurations();
  recordGenerations(durations, 50, 4);
  t.is(durations.estimateTotal(request(50)), TIME_LIMIT);
  recordGenerations(durations, 50, 1);
  t.true(durations.estimateTotal(request(50)) < TIME_LIMIT);
  t.is(durations.estimateTotal({ ...request(50), route: "x" }), TIME_LIMIT);
});

test("a generation takes as long as those of a similar length", (t) => {
  const durations = new RequestDurations();
  for (const tokens of [10, 50, 200]) recordGenerations(durations, tokens);
  t.is(durations.estimateTotal(request(10)), milliseconds(700 * 1.25));
  t.is(durations.estimateRun(request(10)), milliseconds(500 * 1.25));
  t.is(durations.estimateTotal(request(75)), milliseconds(1_500 * 1.5 * 1.25));
  t.is(durations.estimateTotal(request(200)), milliseconds(4_500 * 1.25));
});

test("a generation longer than all others takes longer, up to its time limit", (t) => {
  const durations = new RequestDurations();
  recordGenerations(durations, 100);
  t.is(durations.estimateTotal(request(200)), milliseconds(2 * 2_500 * 1.25));
  t.is(durations.estimateTotal(request(1_000)), TIME_LIMIT);
});

test("the longest of the latest requests decides", (t) => {
  const durations = new RequestDurations();
  const record = (total: number, count: number) => {
    for (let call = 0; call < count; call += 1) {
      durations.record("lookup", {
        outputTokens: 0,
        total: milliseconds(total),
        run: milliseconds(total),
      });
    }
  };
  const estimate = () =>
    durations.estimateTotal({
      route: "lookup",
      outputTokens: 0,
      timeLimit: seconds(1),
    });
  record(40, 100);
  record(400, 1);
  record(40, 31);
  t.is(estimate(), milliseconds(500));
  record(40, 1);
  t.is(estimate(), milliseconds(50));
});
