import test from "ava";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { startWorld, succeed } from "./helpers/relay_world.ts";

/** The time in which a request would have reached the server. */
const ARRIVAL_MILLISECONDS = 150;

const BODY = "x".repeat(10);
const REQUESTS = {
  "a request without a body":
    "GET /once/left HTTP/1.1\r\nhost: one.example\r\nx-id: r1\r\n\r\n",
  "a request with a body":
    `POST /once/left HTTP/1.1\r\nhost: one.example\r\nx-id: r1\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`,
} as const;

for (const [kind, text] of Object.entries(REQUESTS)) {
  for (const end of ["closes", "resets"] as const) {
    // Guards against a node that is short of processor time, which reads a
    // request together with the end of its caller's connection.
    test(`${kind} is not sent if its caller ${end} the connection before it is read`, async (t) => {
      const world = await startWorld(t);
      let arrivals = 0;
      await world.addServer("s1", (request, response) => {
        request.resume();
        arrivals += 1;
        succeed(request, response, "served");
      });
      // A connection that is open leaves no time to read the end meanwhile.
      t.is((await world.call("/once/first")).status, 200);
      arrivals = 0;
      const caller = connect(world.port, "127.0.0.1");
      await new Promise((resolve) => caller.once("connect", resolve));
      // The node shares this process, and reads both in its next turn.
      caller.write(text);
      if (end === "closes") caller.destroy();
      else caller.resetAndDestroy();
      await sleep(ARRIVAL_MILLISECONDS);
      t.is(arrivals, 0);
    });
  }
}
