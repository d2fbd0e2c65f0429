import { PartitionableLink } from "@foxtailwind/standins";
import test from "ava";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** On loopback, an attempt to connect succeeds or fails long before. */
const HANG_MILLISECONDS = 300;

test("attempts to connect over a link that hangs get no answer until it heals", async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const link = new PartitionableLink((server.address() as AddressInfo).port);
  const port = await link.listen();
  await link.hangConnections();
  const hanging = connect(port, "127.0.0.1");
  const outcome = once(hanging, "connect").then(() => "connected", String);
  const first = await Promise.race([
    outcome,
    sleep(HANG_MILLISECONDS, "hangs"),
  ]);
  t.is(first, "hangs");
  hanging.destroy();
  await link.heal();
  const socket = connect(port, "127.0.0.1");
  await once(socket, "connect");
  socket.destroy();
  link.close();
  server.close();
  t.pass();
});
