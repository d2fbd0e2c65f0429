import { PeerDatagrams } from "@foxtailwind/node/relay";
import type { StreamOrigin } from "@foxtailwind/protocol";
import test, { type ExecutionContext } from "ava";
import { createSocket } from "node:dgram";
import { type AddressInfo, createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

const HOST = "127.0.0.1";
const POLL_MILLISECONDS = 5;
const ORIGIN: StreamOrigin = {
  attempt: "r1",
  service: "s",
  software: "1",
  server: "a",
  ageMilliseconds: 3,
  start: 7,
};

/** The datagram of an origin. */
function originMessage(origin: StreamOrigin) {
  return {
    streamOrigin: origin,
    registryChange: undefined,
    archivedOrigin: undefined,
  };
}

/** Returns a port that nothing listens at. */
async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

async function startReceiver(t: ExecutionContext) {
  const received: StreamOrigin[] = [];
  const datagrams = new PeerDatagrams();
  datagrams.addListener(({ streamOrigin }) => {
    if (streamOrigin !== undefined) received.push(streamOrigin);
  });
  const port = await freePort();
  await datagrams.listen({ host: HOST, port });
  t.teardown(() => {
    datagrams.close();
  });
  const waitFor = async (count: number) => {
    while (received.length < count) await sleep(POLL_MILLISECONDS);
  };
  return { datagrams, received, waitFor, port };
}

test("an origin reaches the peers that it is sent to", async (t) => {
  const sender = await startReceiver(t);
  const [first, second] = [await startReceiver(t), await startReceiver(t)];
  const addresses = [first, second].map(({ port }) => `${HOST}:${port}`);
  sender.datagrams.send(originMessage(ORIGIN), addresses);
  for (const { received, waitFor } of [first, second]) {
    await waitFor(1);
    t.deepEqual(received, [ORIGIN]);
  }
  t.deepEqual(sender.received, []);
});

test("bytes that are no origin are ignored", async (t) => {
  const { datagrams, received, waitFor, port } = await startReceiver(t);
  const socket = createSocket("udp4");
  t.teardown(() => socket.close());
  for (const bytes of [Buffer.from([255, 255]), Buffer.from("attempt")]) {
    socket.send(bytes, port, HOST);
  }
  await sleep(20);
  datagrams.send(originMessage(ORIGIN), [`${HOST}:${port}`]);
  await waitFor(1);
  t.deepEqual(received, [ORIGIN]);
});

test("an origin that is too large for a datagram is not sent", async (t) => {
  const { datagrams, received, waitFor, port } = await startReceiver(t);
  const address = `${HOST}:${port}`;
  datagrams.send(
    originMessage({ ...ORIGIN, software: "v".repeat(2_000) }),
    [address],
  );
  datagrams.send(originMessage(ORIGIN), [address]);
  await waitFor(1);
  t.deepEqual(received, [ORIGIN]);
});

test("nothing is sent before the socket is open or after it is closed", async (t) => {
  const { received, port } = await startReceiver(t);
  const sender = new PeerDatagrams();
  sender.send(originMessage(ORIGIN), [`${HOST}:${port}`]);
  await sender.listen({ host: HOST, port: await freePort() });
  sender.close();
  sender.send(originMessage(ORIGIN), [`${HOST}:${port}`]);
  await sleep(20);
  t.deepEqual(received, []);
});
