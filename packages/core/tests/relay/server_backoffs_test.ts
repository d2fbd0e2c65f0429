import {
  type Duration,
  instant,
  milliseconds,
  ServerBackoffs,
} from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import test from "ava";

const RUNS = ["a@1", "a@2", "b@1"];
const STATUSES = [200, 421, 429, 500, 503];

/** An answer that asked for a backoff, kept for good by the model. */
interface AskedBackoff {
  readonly run: string;
  readonly at: number;
  readonly retryAfter: number;
}

/** Returns how long any of the answers still asks for a backoff. */
function remainingByModel(
  now: number,
  run: string,
  asked: readonly AskedBackoff[],
): Duration {
  const times = asked.filter((one) => one.run === run)
    .map(({ at, retryAfter }) => at + retryAfter - now);
  return milliseconds(Math.max(0, ...times));
}

// Guards against requests to a server that has asked this node for a backoff.
test("no backoff ends before the last time that any answer asked for", (t) => {
  for (let seed = 1; seed <= 200; seed += 1) {
    const random = new SeededRandom(seed);
    const pick = <T>(values: readonly T[]) =>
      values[Math.floor(random.next() * values.length)] as T;
    const backoffs = new ServerBackoffs();
    const asked: AskedBackoff[] = [];
    for (let now = 0; now < 10_000; now += Math.floor(random.next() * 400)) {
      const run = pick(RUNS);
      const status = pick(STATUSES);
      const retryAfter = random.next() < 0.6
        ? Math.floor(random.next() * 3_000)
        : undefined;
      backoffs.applyAnswer(instant(now), run, {
        status,
        ...(retryAfter === undefined
          ? {}
          : { retryAfter: milliseconds(retryAfter) }),
      });
      const isRefusal = status === 429 || status === 503;
      if (isRefusal && retryAfter !== undefined) {
        asked.push({ run, at: now, retryAfter });
      }
      for (const one of RUNS) {
        t.is(
          backoffs.remaining(instant(now), one),
          remainingByModel(now, one, asked),
          `seed ${seed}, ${now} ms, ${one}`,
        );
      }
    }
  }
});

test("an answer tells whether its backoff is new", (t) => {
  const backoffs = new ServerBackoffs();
  const apply = (now: number, retryAfter: number) =>
    backoffs.applyAnswer(instant(now), "a@1", {
      status: 503,
      retryAfter: milliseconds(retryAfter),
    });
  t.true(apply(0, 1_000));
  t.false(apply(100, 500));
  t.true(apply(200, 1_000));
  t.false(apply(2_000, 0));
});

test("backoffs that have ended take no memory", (t) => {
  const backoffs = new ServerBackoffs();
  for (let now = 0; now < 10_000; now += 1) {
    backoffs.applyAnswer(instant(now), `server-${now}@1`, {
      status: 503,
      retryAfter: milliseconds(10),
    });
  }
  t.true(backoffs.size <= 11);
});
