/**
 * A status out of the range that HTTP defines is no answer. Callers got those
 * above it as they were, and a status below it failed an assertion of the HTTP
 * client.
 */
import test from "ava";
import { rawCall } from "./helpers/raw_call.ts";
import { startWorld } from "./helpers/relay_world.ts";
import { serveRaw } from "./helpers/serve_raw.ts";

const TERMS = "x-id: r1\r\nx-seal: s\r\ncontent-length: 5\r\n\r\nwhole";
const WHOLE = `HTTP/1.1 200 OK\r\n${TERMS}`;

for (const status of ["000", "020", "099", "600", "799", "999"]) {
  test(`an answer with status ${status} is not passed on`, async (t) => {
    const world = await startWorld(t);
    await serveRaw(t, world, "s1", (socket) => {
      socket.write(`HTTP/1.1 ${status} OK\r\n${TERMS}`);
    });
    const { bytes } = await rawCall(world.port, "/once/a").ended;
    t.regex(bytes, /^HTTP\/1\.1 502 /);
    t.deepEqual(world.outcomes, ["lost"]);
  });

  test(`after an answer with status ${status} a repeatable request is sent to another server`, async (t) => {
    const world = await startWorld(t);
    let arrivals = 0;
    for (const id of ["s1", "s2"]) {
      await serveRaw(t, world, id, (socket) => {
        arrivals += 1;
        socket.write(
          arrivals === 1 ? `HTTP/1.1 ${status} OK\r\n${TERMS}` : WHOLE,
        );
      });
    }
    const { bytes } = await rawCall(world.port, "/repeatable/a").ended;
    t.regex(bytes, /^HTTP\/1\.1 200 [^]*whole$/);
    t.is(arrivals, 2);
  });
}
