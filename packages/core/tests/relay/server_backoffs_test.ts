import {
  type BackendServerId,
  backendServerId,
  instant,
  milliseconds,
  ServerBackoffs,
  type ServerRun,
  serverStart,
} from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import test from "ava";

const SERVERS = ["a", "b"].map(backendServerId);
const STATUSES = [200, 421, 429, 500, 503];
/** A start that becomes known later than this after an answer didn't give it. */
const REGISTRATION_MILLISECONDS = 3_000;

/** An answer that asked for a backoff, kept for good by the model. */
interface AskedBackoff {
  readonly server: ServerRun;
  readonly at: number;
  readonly retryAfter: number;
}

/** A run of the model: all that was ever asked, and the known starts. */
class Model {
  readonly asked: AskedBackoff[] = [];
  readonly #startKnownAt = new Map<string, number>();

  recordStart({ id, start }: ServerRun, now: number): void {
    this.#startKnownAt.set(`${id}@${start ?? ""}`, now);
  }

  /** Returns how long any answer that may be of this start asks to wait. */
  remaining(now: number, { id, start }: ServerRun): number {
    const times = this.asked.filter(({ server, at }) => {
      if (server.id !== id) return false;
      const next = Number(server.start) + 1;
      const nextKnownAt = this.#startKnownAt.get(`${id}@${next}`) ?? Infinity;
      return server.start === start ||
        (start === serverStart(next) &&
          nextKnownAt - at < REGISTRATION_MILLISECONDS);
    }).map(({ at, retryAfter }) => at + retryAfter - now);
    return Math.max(0, ...times);
  }
}

// Guards against requests to a server that has asked this node for a backoff.
test("no backoff ends before the last time that any answer of its start asked for", (t) => {
  for (let seed = 1; seed <= 200; seed += 1) {
    const random = new SeededRandom(seed);
    const pick = <T>(values: readonly T[]) =>
      values[Math.floor(random.next() * values.length)] as T;
    const backoffs = new ServerBackoffs();
    const model = new Model();
    const starts = new Map(SERVERS.map((id) => [id, 1]));
    const runOf = (id: BackendServerId): ServerRun => ({
      id,
      start: serverStart(starts.get(id) ?? 1),
    });
    for (let now = 0; now < 20_000; now += Math.floor(random.next() * 400)) {
      const id = pick(SERVERS);
      if (random.next() < 0.05) {
        starts.set(id, (starts.get(id) ?? 1) + 1);
        model.recordStart(runOf(id), now);
      }
      const status = pick(STATUSES);
      const retryAfter = Math.floor(random.next() * 3_000);
      const isStated = random.next() < 0.4;
      const server = runOf(id);
      backoffs.remaining(instant(now), server);
      backoffs.applyAnswer(instant(now), server, {
        status,
        ...(isStated ? { retryAfter: milliseconds(retryAfter) } : {}),
      });
      if (isStated && (status === 429 || status === 503)) {
        model.asked.push({ server, at: now, retryAfter });
      }
      for (const one of SERVERS.map(runOf)) {
        const remaining = backoffs.remaining(instant(now), one);
        const end = Math.max(
          0,
          ...model.asked.filter(({ server: { id } }) => id === one.id)
            .map(({ at, retryAfter: time }) => at + time - now),
        );
        const detail = `seed ${seed}, ${now} ms, ${one.id}@${one.start ?? ""}`;
        t.true(remaining >= model.remaining(now, one), detail);
        t.true(remaining <= end, detail);
      }
    }
  }
});

test("a backoff ends with its start, unless the next one may have asked for it", (t) => {
  const backoffs = new ServerBackoffs();
  const retryAfter = milliseconds(60_000);
  const [first, second, third] = [1, 2, 3].map((start) => ({
    id: backendServerId("a"),
    start: serverStart(start),
  })) as [ServerRun, ServerRun, ServerRun];
  backoffs.applyAnswer(instant(0), first, { status: 503, retryAfter });
  t.is(backoffs.remaining(instant(2_900), second), milliseconds(57_100));
  t.is(backoffs.remaining(instant(9_000), second), milliseconds(51_000));
  backoffs.applyAnswer(instant(10_000), second, { status: 503, retryAfter });
  t.is(backoffs.remaining(instant(13_000), third), milliseconds(0));
});

test("an answer tells whether its backoff is new", (t) => {
  const backoffs = new ServerBackoffs();
  const apply = (now: number, retryAfter: number) =>
    backoffs.applyAnswer(instant(now), { id: backendServerId("a") }, {
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
    const server = { id: backendServerId(`server-${now}`) };
    backoffs.applyAnswer(instant(now), server, {
      status: 503,
      retryAfter: milliseconds(10),
    });
  }
  t.true(backoffs.size <= 11);
});
