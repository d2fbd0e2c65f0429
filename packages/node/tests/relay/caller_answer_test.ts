/**
 * Ends of callers' connections that can't be reset. A reset was refused while
 * a connection's own end was still being written; such a connection was never
 * let go, told no close, and kept its descriptor for as long as the process
 * lived, which could not even exit by itself.
 */
import { CallerAnswer } from "@foxtailwind/node/relay";
import test from "ava";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";

test("a caller of HTTP/1.0 that ends its side is let go when its answer breaks off", async (t) => {
  const server = createServer();
  t.teardown(() => server.close());
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const arrived = once(server, "request");
  const { port } = server.address() as AddressInfo;
  const caller = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
  t.teardown(() => caller.destroy());
  caller.on("error", () => undefined);
  caller.write("GET / HTTP/1.0\r\n\r\n");

  const [, response] = await arrived as [unknown, ServerResponse];
  const { socket } = response;
  if (socket === null) throw new TypeError("The caller has left.");
  const answer = new CallerAnswer(response);
  answer.begin({ status: 200, headers: {} }, {
    isResumable: false,
    isLast: true,
  });
  answer.write(Buffer.from("half a bo"));
  caller.end();
  await once(socket, "end");
  t.true(socket.writableEnded);

  const closed = once(socket, "close", { signal: AbortSignal.timeout(2_000) });
  answer.breakOff();
  await t.notThrowsAsync(closed);
  t.true(socket.destroyed);
});
