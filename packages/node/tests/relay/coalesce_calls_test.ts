import {
  backendServerId,
  logOffset,
  milliseconds,
  nodeId,
} from "@foxtailwind/core";
import { coalesceCalls } from "@foxtailwind/node/relay";
import test from "ava";
import { createRelayBase } from "./helpers/relay_base.ts";

const ENGINES = 62;

// Answers the load of a read that brings the claims of all engines at once:
// checking all engines after each of them grows with the square of their number.
test("the claims of one read are one change", async (t) => {
  const { knowledge } = createRelayBase({ part: "callers" });
  const owners: (string | undefined)[] = [];
  const last = backendServerId(`engine-${ENGINES - 1}`);
  knowledge.onChange = coalesceCalls(() => {
    owners.push(knowledge.claims.owner(last));
  });
  const read = (owner: string, firstOffset: number) => {
    for (let index = 0; index < ENGINES; index += 1) {
      knowledge.claim({
        engine: backendServerId(`engine-${index}`),
        owner: nodeId(owner),
        incarnation: "1",
        wait: milliseconds(0),
      }, logOffset(firstOffset + index));
    }
  };
  read("node-1", 0);
  t.deepEqual(owners, []);
  await Promise.resolve();
  t.deepEqual(owners, ["node-1"]);
  read("node-2", ENGINES);
  await Promise.resolve();
  t.deepEqual(owners, ["node-1", "node-2"]);
});
