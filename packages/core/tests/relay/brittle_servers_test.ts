import { BrittleServers, instant, milliseconds } from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import test from "ava";

const RUN = "s1@1";
const NODES = 9;
const PLACES = 9;
const SERVICE_MILLISECONDS = 40;
const END_MILLISECONDS = 6_000;
const SECOND_MILLISECONDS = 1_000;

/** A node of the model, with the ends of its requests in progress. */
interface ModelNode {
  readonly brittle: BrittleServers;
  endsAt: number[];
  pausedUntil: number;
}

// Guards against nodes that make a brittle server fail by what it must reject.
test("nodes that want more than a brittle server takes don't exceed its rejections", (t) => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const random = new SeededRandom(seed);
    const limit = 2 + Math.floor(random.next() * 8);
    const nodes: ModelNode[] = Array.from({ length: NODES }, () => ({
      brittle: new BrittleServers(),
      endsAt: [],
      pausedUntil: 0,
    }));
    const rejections: number[] = [];
    // All have had an answer that says so before the server takes fewer.
    for (const { brittle } of nodes) {
      brittle.applyAnswer(instant(0), RUN, {
        sentAt: instant(0),
        isRejection: false,
        rejectionLimit: limit,
        nodes: NODES,
      });
    }
    for (let now = 1; now < END_MILLISECONDS; now += 1) {
      // The server takes up to two fewer than it has places.
      const room = PLACES - Math.floor(now / 1_000) % 3;
      for (const node of nodes) {
        node.endsAt = node.endsAt.filter((end) => end > now);
        const inProgress = nodes.reduce(
          (sum, { endsAt }) => sum + endsAt.length,
          0,
        );
        const maximum = node.brittle.maximumInProgress(
          instant(now),
          RUN,
          PLACES,
          NODES,
        );
        const isHeldBack = now < node.pausedUntil ||
          node.endsAt.length >= maximum || random.next() < 0.2;
        if (isHeldBack) continue;
        const isRejection = inProgress >= room;
        if (isRejection) rejections.push(now);
        else node.endsAt.push(now + SERVICE_MILLISECONDS);
        node.pausedUntil = now + node.brittle.applyAnswer(instant(now), RUN, {
          sentAt: instant(now),
          isRejection,
          rejectionLimit: limit,
          nodes: NODES,
        });
      }
    }
    for (const begin of rejections) {
      const inSecond = rejections.filter((at) =>
        at >= begin && at < begin + SECOND_MILLISECONDS
      );
      t.true(inSecond.length <= limit, `seed ${seed}: ${inSecond.length}`);
    }
    t.true(rejections.length > 0, `seed ${seed}`);
  }
});

test("a server is brittle until it no longer says so, or has said nothing for long", (t) => {
  const brittle = new BrittleServers();
  const apply = (
    now: number,
    sentAt: number,
    rejectionLimit: number | undefined,
  ) =>
    brittle.applyAnswer(instant(now), RUN, {
      sentAt: instant(sentAt),
      isRejection: false,
      rejectionLimit,
      nodes: 2,
    });
  const maximum = (now: number) =>
    brittle.maximumInProgress(instant(now), RUN, 6, 2);
  t.is(maximum(0), Infinity);
  apply(100, 50, 5);
  t.is(maximum(100), 3);
  apply(120, 60, undefined);
  t.is(maximum(120), 3, "That answer was requested earlier.");
  apply(200, 150, undefined);
  t.is(maximum(200), Infinity);
  apply(300, 250, 5);
  t.is(maximum(10_299), 3);
  t.is(maximum(10_300), Infinity);
});

test("a rejection leads to a backoff only at a brittle server", (t) => {
  const brittle = new BrittleServers();
  const reject = (rejectionLimit: number | undefined) =>
    brittle.applyAnswer(instant(0), RUN, {
      sentAt: instant(0),
      isRejection: true,
      rejectionLimit,
      nodes: 4,
    });
  t.is(reject(undefined), milliseconds(0));
  t.is(reject(8), milliseconds(1_000));
});
