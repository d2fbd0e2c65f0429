import { PartitionableLink } from "@foxtailwind/standins";
import test, { type ExecutionContext } from "ava";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { type RelayWorld, startWorld, succeed } from "./helpers/relay_world.ts";

/** How long a request that arrives after a partition may take to do so. */
const ARRIVAL_MILLISECONDS = 150;
/** After this time, the node has handled the end of a caller's connection. */
const CLOSE_MILLISECONDS = 100;

/** A backend server behind a link that can be partitioned. */
interface LinkedServer {
  readonly link: PartitionableLink;
  /** The paths of the requests that have reached it. */
  readonly arrivals: readonly string[];
}

/** Adds a server behind a link, to which one connection is kept open. */
async function addLinkedServer(
  t: ExecutionContext,
  world: RelayWorld,
): Promise<LinkedServer> {
  const arrivals: string[] = [];
  const server = createServer((request, response) => {
    request.resume();
    arrivals.push(request.url ?? "");
    succeed(request, response, "served");
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const link = new PartitionableLink((server.address() as AddressInfo).port);
  world.addAddress("s1", `127.0.0.1:${await link.listen()}`);
  t.teardown(() => {
    link.close();
    server.close();
    server.closeAllConnections();
  });
  t.is((await world.call("/once/before")).status, 200);
  return { link, arrivals };
}

// Guards against requests that reach a server long after their callers left.
test("a request doesn't arrive after a partition if its caller has left", async (t) => {
  const world = await startWorld(t);
  const { link, arrivals } = await addLinkedServer(t, world);
  link.partition();
  const caller = new AbortController();
  const call = world.call("/once/abandoned", { signal: caller.signal });
  await sleep(CLOSE_MILLISECONDS);
  caller.abort();
  await t.throwsAsync(call, { any: true });
  await sleep(CLOSE_MILLISECONDS);
  await link.heal();
  await sleep(ARRIVAL_MILLISECONDS);
  t.deepEqual(arrivals, ["/once/before"]);
  t.deepEqual(world.outcomes, ["answered", "caller_left"]);
});

// Guards against requests that reach a server long after their callers left.
test("a request doesn't arrive after a partition if its deadline is over", async (t) => {
  const world = await startWorld(t);
  const { link, arrivals } = await addLinkedServer(t, world);
  link.partition();
  t.is((await world.call("/short/late")).status, 504);
  await sleep(CLOSE_MILLISECONDS);
  await link.heal();
  await sleep(ARRIVAL_MILLISECONDS);
  t.deepEqual(arrivals, ["/once/before"]);
});

// Guards against requests that run at a silent server and at another one.
test("a request that was sent to another server doesn't arrive at the first one after a partition", async (t) => {
  const world = await startWorld(t);
  const { link, arrivals } = await addLinkedServer(t, world);
  link.partition();
  const call = world.call("/repeatable/moved");
  await sleep(CLOSE_MILLISECONDS);
  await world.addServer("s2", (request, response) => {
    request.resume();
    succeed(request, response, "second");
  });
  t.is((await call).bytes.toString(), "second");
  await sleep(CLOSE_MILLISECONDS);
  await link.heal();
  await sleep(ARRIVAL_MILLISECONDS);
  t.deepEqual(arrivals, ["/once/before"]);
});

test("a request that waits for its answer arrives after a partition", async (t) => {
  const world = await startWorld(t);
  const { link, arrivals } = await addLinkedServer(t, world);
  link.partition();
  const call = world.call("/patient/waiting");
  await sleep(CLOSE_MILLISECONDS);
  await link.heal();
  t.is((await call).status, 200);
  t.deepEqual(arrivals, ["/once/before", "/patient/waiting"]);
});
