import test from "ava";
import { emulateOrigins, TellsHolders } from "@foxtailwind/bench";

const REQUIRED_SHARE = 0.9;

// Guards against streams that can't go on because everybody who knew what began
// them was killed with their node.
test("six holders know what began nearly all streams after 60 of 100 nodes are killed", (t) => {
  const loss = { name: "killed", share: 0.6, byDomain: false };
  for (const nodes of [6, 100, 1_500]) {
    const way = new TellsHolders(6);
    const { known } = emulateOrigins(way, loss, { nodes, seed: 1 });
    t.true(known > REQUIRED_SHARE, `${known} of ${nodes} nodes' streams`);
  }
});
