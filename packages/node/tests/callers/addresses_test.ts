import test from "ava";
import { startDeployment } from "../helpers/deployment.ts";
import { publishAdapter, streamCompletion } from "../helpers/streams.ts";

interface AddressesBody {
  readonly addresses: readonly {
    readonly node: string;
    readonly url: string;
  }[];
  readonly expires_in_seconds: number;
  readonly key_scope?: string;
}

async function ask(url: string, query = ""): Promise<AddressesBody> {
  const answer = await fetch(`${url}/v1/addresses${query}`);
  return await answer.json() as AddressesBody;
}

test("an answer names nodes, and for how long", async (t) => {
  const { urls } = await startDeployment(t, {
    nodes: 3,
    addressLifetimeSeconds: 0.2,
  });
  const body = await ask(urls[0] ?? "", "?failure_domain=domain-1");
  t.deepEqual(
    body.addresses.map(({ url }) => url).sort(),
    [...urls].sort(),
  );
  t.true(body.expires_in_seconds <= 0.2 && body.expires_in_seconds > 0.05);
  t.not(body.key_scope, undefined);
});

test("a node that the list shows as leaving is not named", async (t) => {
  const { urls, daemons, vmList, refresh } = await startDeployment(t, {
    nodes: 3,
  });
  const vm = daemons[0]?.directory.vms.find(({ id }) => id === "node-2");
  if (vm !== undefined) vmList.setVm({ ...vm, state: "leaving" });
  await refresh();
  const { addresses } = await ask(urls[0] ?? "");
  t.deepEqual(addresses.map(({ node }) => node).sort(), ["node-1", "node-3"]);
});

test("the node that controls an adapter's engine is named first", async (t) => {
  const deployment = await startDeployment(t, { nodes: 3, engine: {} });
  await publishAdapter(deployment);
  const [url = ""] = deployment.urls;
  await (await streamCompletion(url, 1)).text();
  const first = (await ask(url, "?adapter=adapter-1")).addresses[0];
  for (let turn = 0; turn < 5; turn += 1) {
    const again = await ask(url, "?adapter=adapter-1@v1");
    t.is(again.addresses[0]?.node, first?.node);
  }
  const stream = await streamCompletion(first?.url ?? "", 2);
  await stream.text();
  const others = deployment.daemons.filter((daemon) =>
    daemon.settings.node.id !== first?.node
  );
  t.true(others.every((daemon) => daemon.work.count === 0));
});
