import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { startDeployment } from "../helpers/deployment.ts";
import { publishAdapter, streamCompletion } from "../helpers/streams.ts";

const POLL_MILLISECONDS = 5;

interface AddressesBody {
  readonly addresses: readonly {
    readonly node: string;
    readonly url: string;
  }[];
  readonly expires_in_seconds: number;
  readonly key_scope?: string;
}

async function fetchAddresses(url: string, query = ""): Promise<AddressesBody> {
  const answer = await fetch(`${url}/v1/addresses${query}`);
  return await answer.json() as AddressesBody;
}

/**
 * Polls until an answer lists the given number of nodes: a node that has just
 * started is listed once it is in the cluster's membership view.
 */
async function fetchUntilListed(
  url: string,
  options: {
    readonly count: number;
    readonly query?: string;
    readonly onAnswer?: (body: AddressesBody) => void;
  },
): Promise<AddressesBody> {
  for (;;) {
    const body = await fetchAddresses(url, options.query);
    options.onAnswer?.(body);
    if (body.addresses.length === options.count) return body;
    await sleep(POLL_MILLISECONDS);
  }
}

test("an answer lists the nodes and its lifetime", async (t) => {
  const { urls } = await startDeployment(t, {
    nodes: 3,
    addressLifetimeSeconds: 0.2,
  });
  const body = await fetchUntilListed(urls[0] ?? "", {
    count: 3,
    query: "?failure_domain=domain-1",
  });
  t.deepEqual(
    body.addresses.map(({ url }) => url).sort(),
    [...urls].sort(),
  );
  t.true(body.expires_in_seconds <= 0.2 && body.expires_in_seconds > 0.05);
  t.not(body.key_scope, undefined);
});

test("a node that is leaving in the VM list is not listed", async (t) => {
  const { urls, daemons, vmList, refresh } = await startDeployment(t, {
    nodes: 3,
  });
  await fetchUntilListed(urls[0] ?? "", { count: 3 });
  const vm = daemons[0]?.directory.vms.find(({ id }) => id === "node-2");
  if (vm !== undefined) vmList.setVm({ ...vm, state: "leaving" });
  await refresh();
  const { addresses } = await fetchUntilListed(urls[0] ?? "", {
    count: 2,
    onAnswer(body) {
      t.false(body.addresses.some(({ node }) => node === "node-2"));
    },
  });
  t.deepEqual(addresses.map(({ node }) => node).sort(), ["node-1", "node-3"]);
});

test("the node that controls an adapter's engine is listed first", async (t) => {
  const deployment = await startDeployment(t, { nodes: 3, engine: {} });
  await publishAdapter(deployment);
  const [url = ""] = deployment.urls;
  await (await streamCompletion(url, 1)).text();
  const first = (await fetchAddresses(url, "?adapter=adapter-1")).addresses[0];
  for (let turn = 0; turn < 5; turn += 1) {
    const again = await fetchAddresses(url, "?adapter=adapter-1@v1");
    t.is(again.addresses[0]?.node, first?.node);
  }
  const stream = await streamCompletion(first?.url ?? "", 2);
  await stream.text();
  const others = deployment.daemons.filter((daemon) =>
    daemon.settings.node.id !== first?.node
  );
  t.true(others.every((daemon) => daemon.work.count === 0));
});
