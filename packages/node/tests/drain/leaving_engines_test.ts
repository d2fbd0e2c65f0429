import { engineId, modelId } from "@foxtailwind/core";
import { FakeEngine } from "@foxtailwind/standins";
import test, { type ExecutionContext } from "ava";
import {
  buildVm,
  type Deployment,
  startDeployment,
  until,
} from "../helpers/deployment.ts";
import {
  publishAdapter,
  readEvents,
  streamCompletion,
} from "../helpers/streams.ts";

const ENGINE = { stepBaseMilliseconds: 5, stepMillisecondsPerSequence: 0 };
const TOKENS = 200;

async function startTwoEngines(
  t: ExecutionContext,
): Promise<Deployment & { readonly engines: readonly FakeEngine[] }> {
  const deployment = await startDeployment(t, { engine: ENGINE });
  const second = new FakeEngine({ id: "engine-2", ...ENGINE });
  const address = await second.listen();
  t.teardown(() => second.close());
  const role = {
    kind: "engine",
    model: modelId("base"),
    checksFencing: true,
  } as const;
  deployment.vmList.setVm(buildVm(engineId("engine-2"), address, role));
  await deployment.refresh();
  await publishAdapter(deployment);
  const [daemon] = deployment.daemons;
  await until(() => [...daemon?.router.controllers ?? []].length === 2);
  const engines = [deployment.engine, second].flatMap((one) => one ?? []);
  return { ...deployment, engines };
}

function startedOn(engine: FakeEngine | undefined): number {
  return engine?.readCounters().generationsStarted ?? 0;
}

for (const source of ["its own state", "the VM list"] as const) {
  test(`an engine leaving according to ${source} gets no new work and finishes`, async (t) => {
    const deployment = await startTwoEngines(t);
    const { engines, daemons, vmList } = deployment;
    const [url = ""] = deployment.urls;
    const stream = streamCompletion(url, TOKENS);
    await until(() => engines.some((engine) => startedOn(engine) === 1));
    const leaving = engines.find((engine) => startedOn(engine) === 1);
    const id = leaving === engines[0] ? "engine-1" : "engine-2";
    leaving?.setFaults({ leaving: true });
    if (source === "the VM list") {
      const vm = daemons[0]?.directory.vms.find((one) => one.id === id);
      if (vm !== undefined) vmList.setVm({ ...vm, state: "leaving" });
      await deployment.refresh();
    }
    await until(() => [...daemons[0]?.router.controllers ?? []].length === 1);
    for (let turn = 0; turn < 5; turn += 1) {
      const events = await readEvents(await streamCompletion(url, 2));
      t.is(events.at(-1), "[DONE]");
    }
    const events = await readEvents(await stream);
    t.is(events.at(-1), "[DONE]");
    t.is(startedOn(leaving), 1);
    t.is(leaving?.readCounters().startedWhileLeaving, 0);
  });
}
