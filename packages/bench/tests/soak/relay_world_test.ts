/** The world of the relay's soak: it leaves nothing running behind. */
import { NodeParts, RelaySoakWorld } from "@foxtailwind/bench";
import test from "ava";
import { connect } from "node:net";

const SEED = 1;

/** Whether somebody listens at an address. */
function takesConnections(address: string): Promise<boolean> {
  const { hostname, port } = new URL(`http://${address}`);
  return new Promise((resolve) => {
    const socket = connect(Number(port), hostname);
    socket.once("connect", () => {
      socket.destroy();
      resolve(true);
    });
    socket.once("error", () => {
      resolve(false);
    });
  });
}

// Guards against a node that outlives its run and holds the process for ever.
test("a node that still starts as the run stops is stopped as well", async (t) => {
  const world = new RelaySoakWorld(SEED, new NodeParts());
  await world.start();
  world.cutNode(0);
  await world.stop();
  world.record.stalls.stop();
  for (const { id, daemon } of world.nodes) {
    t.false(await takesConnections(daemon.callerAddress), id);
  }
});
