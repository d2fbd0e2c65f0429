/**
 * Aborting answers on connections that can't be reset. Node refuses a reset
 * while the connection's own end is still being written. Such a connection was
 * never closed: it emitted no `close`, kept its descriptor for as long as the
 * process lived, and kept the process from exiting.
 */
import { CallerAnswer } from "@foxtailwind/node/relay";
import test from "ava";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";

test("aborting an answer closes the connection of a half-closed HTTP/1.0 caller", async (t) => {
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
  if (socket === null) throw new TypeError("The response has no socket.");
  const answer = new CallerAnswer(response, { record: () => undefined });
  answer.begin({ status: 200, headers: {} }, {
    dropsLength: false,
    closesConnection: true,
  });
  answer.write(Buffer.from("half a bo"));
  caller.end();
  await once(socket, "end");
  t.true(socket.writableEnded);

  const closed = once(socket, "close", { signal: AbortSignal.timeout(2_000) });
  answer.abort();
  await t.notThrowsAsync(closed);
  t.true(socket.destroyed);
});
