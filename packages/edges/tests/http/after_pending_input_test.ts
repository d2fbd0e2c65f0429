/** Timeouts of calls while the process stalls for a moment. */
import { exchange, IdleTimeout } from "@foxtailwind/edges";
import test, { type ExecutionContext } from "ava";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { Pool } from "undici";

const RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell";
const LIMIT_MILLISECONDS = 150;
const STALL_MILLISECONDS = 400;

/** Connects to a server that responds and then blocks the event loop. */
function connectToStallingServer(t: ExecutionContext): Promise<Pool> {
  return connectToServer(t, (socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.write(RESPONSE);
      const until = performance.now() + STALL_MILLISECONDS;
      while (performance.now() < until);
    });
  });
}

/** Connects to a server that handles its connections with a callback. */
async function connectToServer(
  t: ExecutionContext,
  onConnection: (socket: Socket) => void,
): Promise<Pool> {
  const server = createServer(onConnection);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const pool = new Pool(`http://127.0.0.1:${port}`);
  t.teardown(async () => {
    await pool.destroy();
    server.close();
  });
  return pool;
}

// Guards against calls that time out although their response has arrived and
// is only unread because the event loop was blocked.
test.serial("a response that arrived before the timeout counts after a stall", async (t) => {
  const pool = await connectToStallingServer(t);
  const answer = await exchange(pool, {
    step: "read_engine",
    peer: "engine",
    origin: "http://127.0.0.1",
    method: "GET",
    path: "/",
    timeoutMilliseconds: LIMIT_MILLISECONDS,
  });
  t.is(answer._unsafeUnwrap().body.toString(), "well");
});

test.serial("an idle timeout does not abort a call whose response arrived", async (t) => {
  const pool = await connectToStallingServer(t);
  const answer = await pool.request({
    method: "GET",
    path: "/",
    signal: new IdleTimeout(LIMIT_MILLISECONDS).signal,
  });
  t.is(await answer.body.text(), "well");
});

test.serial("an idle timeout aborts a call without a response", async (t) => {
  const pool = await connectToServer(t, () => undefined);
  const call = pool.request({
    method: "GET",
    path: "/",
    signal: new IdleTimeout(LIMIT_MILLISECONDS).signal,
  });
  await t.throwsAsync(call, { message: "No answer came in time." });
});
