import {
  emulateSpread,
  FetchesWhatDigestsTell,
  RenewsProofs,
  SendsAtOnce,
  type SpreadFault,
  type SpreadWay,
} from "@foxtailwind/bench";
import test from "ava";

/** The time within which a departure has to be known. */
const BOUND_MILLISECONDS = 3_000;
const SIZES = [{ nodes: 75, failureDomains: 5 }, {
  nodes: 195,
  failureDomains: 3,
}];
const SEEDS = [1, 2];

/** Returns the longest time until a node knows, of all sizes and seeds. */
function longestDelay(way: SpreadWay, fault: SpreadFault): number {
  const delays = SIZES.flatMap((size) =>
    SEEDS.flatMap((seed) => emulateSpread(way, fault, { ...size, seed }).delays)
  );
  return Math.max(...delays);
}

// Guards against departures that reach some nodes after the bound.
test("every node knows of a departure within a third of the bound, and two thirds without the nodes that read the registry and a hub", (t) => {
  const way = new RenewsProofs();
  t.true(longestDelay(way, "none") <= BOUND_MILLISECONDS / 3);
  const isolated = longestDelay(way, "watchers_and_hub");
  t.true(isolated <= BOUND_MILLISECONDS * 2 / 3, `${isolated} ms`);
});

test("the bound notices nodes that wait for new readers of the registry", (t) => {
  t.true(longestDelay(new SendsAtOnce(), "watchers") > BOUND_MILLISECONDS);
  const fetching = longestDelay(new FetchesWhatDigestsTell(), "none");
  t.true(fetching > BOUND_MILLISECONDS / 3);
});
