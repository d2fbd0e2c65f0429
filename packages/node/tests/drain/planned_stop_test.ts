import test from "ava";
import { startDeployment, until } from "../helpers/deployment.ts";
import {
  countTokens,
  publishAdapter,
  readEvents,
  streamCompletion,
} from "../helpers/streams.ts";

const STEP_MILLISECONDS = 5;
const TOKENS = 40;

const ENGINE = {
  stepBaseMilliseconds: STEP_MILLISECONDS,
  stepMillisecondsPerSequence: 0,
  prefillMillisecondsPerToken: 0,
};

test("a planned stop does not cut off open streams", async (t) => {
  const deployment = await startDeployment(t, { engine: ENGINE });
  await publishAdapter(deployment);
  const streams = Array.from(
    { length: 4 },
    () => streamCompletion(deployment.urls[0] ?? "", TOKENS),
  );
  await until(() => deployment.engine?.readCounters().generationsStarted === 4);
  const stopped = deployment.daemons[0]?.stop();
  for (const stream of streams) {
    const events = await readEvents(await stream);
    t.is(events.at(-1), "[DONE]");
    t.is(countTokens(events), TOKENS);
  }
  t.is(await stopped, 0);
});

test("a stop requested twice cuts off nothing", async (t) => {
  const deployment = await startDeployment(t, { engine: ENGINE });
  await publishAdapter(deployment);
  const stream = streamCompletion(deployment.urls[0] ?? "", TOKENS);
  await until(() => deployment.engine?.readCounters().generationsStarted === 1);
  const [daemon] = deployment.daemons;
  const stops = Promise.all([daemon?.stop(), daemon?.stop()]);
  t.is((await readEvents(await stream)).at(-1), "[DONE]");
  t.deepEqual(await stops, [0, 0]);
});

test("a leaving node reports it at once and serves requests that arrive", async (t) => {
  const { urls, daemons, servers } = await startDeployment(t, {
    servers: [{}],
    nodes: 2,
  });
  const [url = ""] = urls;
  servers[0]?.setFaults({ outage: "hang" });
  const held = fetch(`${url}/v1/services/booking/slots`);
  await until(() => daemons[0]?.work.count === 1);
  const stopped = daemons[0]?.stop();
  t.is((await fetch(`${url}/readyz`)).status, 503);
  const health = await fetch(`${url}/healthz`);
  t.is(health.status, 200);
  t.is(health.headers.get("connection"), "close");
  t.deepEqual(await advertisedNodes(url), ["node-2"]);
  servers[0]?.setFaults({ outage: "none" });
  t.is((await held).status, 200);
  t.is(await stopped, 0);
  await t.throwsAsync(fetch(`${url}/healthz`));
});

test("a call that outlasts the address lifetime is finished", async (t) => {
  const { urls, daemons, servers } = await startDeployment(t, {
    servers: [{ latencyMilliseconds: 300 }],
  });
  const call = fetch(`${urls[0]}/v1/services/booking/slots`);
  await until(() => servers[0]?.readCounters().calls === 1);
  const stopped = daemons[0]?.stop();
  t.is((await call).status, 200);
  t.is(await stopped, 0);
});

test("the operator's time limit ends a stop with work in progress", async (t) => {
  const { urls, daemons, servers } = await startDeployment(t, {
    servers: [{}],
    maximumStopSeconds: 0.2,
  });
  servers[0]?.setFaults({ outage: "hang" });
  const call = fetch(`${urls[0]}/v1/services/booking/slots`).catch(() => null);
  await until(() => daemons[0]?.work.count === 1);
  t.is(await daemons[0]?.stop(), 1);
  await servers[0]?.close();
  await call;
});

test("nodes that stop together during a log outage cut off nothing", async (t) => {
  const deployment = await startDeployment(t, { engine: ENGINE, nodes: 3 });
  await publishAdapter(deployment);
  const streams = deployment.urls.map((url) => streamCompletion(url, TOKENS));
  await until(() => deployment.engine?.readCounters().generationsStarted === 3);
  deployment.log.setFaults({ outage: "drop" });
  const stops = deployment.daemons.slice(0, 2).map((daemon) => daemon.stop());
  for (const stream of streams) {
    t.is((await readEvents(await stream)).at(-1), "[DONE]");
  }
  t.deepEqual(await Promise.all(stops), [0, 0]);
});

test("a node that stops finishes the streams of its peers", async (t) => {
  const deployment = await startDeployment(t, { engine: ENGINE, nodes: 2 });
  await publishAdapter(deployment);
  const streams = deployment.urls.map((url) => streamCompletion(url, TOKENS));
  await until(() => deployment.engine?.readCounters().generationsStarted === 2);
  const counts = deployment.daemons.map((daemon) => daemon.work.count);
  t.deepEqual([...counts].sort(), [1, 2], "one stream is handed over");
  const controller = deployment.daemons[counts.indexOf(2)];
  const stopped = controller?.stop();
  for (const stream of streams) {
    t.is((await readEvents(await stream)).at(-1), "[DONE]");
  }
  t.is(await stopped, 0);
});

async function advertisedNodes(url: string): Promise<readonly string[]> {
  const answer = await fetch(`${url}/v1/addresses`);
  const body = await answer.json() as {
    readonly addresses: readonly { readonly node: string }[];
  };
  return body.addresses.map((address) => address.node);
}
