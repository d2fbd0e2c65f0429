import { createDispatcher, HttpVmListClient } from "@foxtailwind/edges";
import { PlanError, planFromFlags, planFromIni } from "@foxtailwind/standins";
import test from "ava";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const PROGRAM_PATH = fileURLToPath(
  new URL("../../src/main.ts", import.meta.url),
);

interface OutputLine {
  readonly kind: string;
  readonly id?: string;
  readonly address?: string;
}

test("the program prints addresses, fills the VM list and stops", async (t) => {
  const program = spawn(process.execPath, [
    "--import=tsx",
    "--conditions=foxtailwind-source",
    PROGRAM_PATH,
    "--engines=3",
    "--domains=2",
    "--services=slots",
  ], { stdio: ["ignore", "pipe", "inherit"] });
  t.teardown(() => program.kill("SIGKILL"));
  const lines: OutputLine[] = [];
  for await (const text of createInterface({ input: program.stdout })) {
    const line = JSON.parse(text) as OutputLine;
    lines.push(line);
    if (line.kind === "ready") break;
  }
  t.snapshot(lines.map(({ kind, id }) => ({ kind, id })));
  const list = lines.find(({ kind }) => kind === "vm_list");
  const dispatcher = createDispatcher();
  t.teardown(() => dispatcher.destroy());
  const client = new HttpVmListClient({
    baseAddress: list?.address ?? "",
    dispatcher,
    peer: "list",
  });
  const vms = (await client.read())._unsafeUnwrap();
  t.snapshot(vms.map(({ id, failureDomain }) => ({ id, failureDomain })));
  program.kill("SIGTERM");
  const [code] = await once(program, "exit") as [number | null];
  t.is(code, 0);
});

test("an INI text lists stand-ins and their settings", (t) => {
  const plans = planFromIni(`
[engine.one]
adapter_slots = 4
checks_fencing = false
failure_domain = domain-2
[log_service]
port = 7001
`);
  t.like(plans[0], { kind: "log_service", placement: { port: 7001 } });
  t.like(plans[1], {
    kind: "engine",
    id: "one",
    placement: { failureDomain: "domain-2" },
    settings: { id: "one", adapterSlots: 4, checksFencing: false },
  });
});

test("settings that cannot be used are named", (t) => {
  const texts = [
    "[engin.one]\n",
    "[engine]\nadapter_slots = 4\n",
    "[engine.one]\nadapter_slot = 4\n",
    "[log_service]\nport = 70000\n",
  ];
  for (const text of texts) {
    const error = t.throws(() => planFromIni(text), { instanceOf: PlanError });
    t.snapshot(error.message);
  }
  const flags = {
    host: "127.0.0.1",
    seed: 1,
    region: "region-1",
    domains: 1,
    engines: 1,
    services: [],
    logSetting: [],
    storeSetting: [],
    vmListSetting: [],
    engineSetting: ["adapter_slots"],
    serviceSetting: [],
  };
  const error = t.throws(() => planFromFlags(flags), { instanceOf: PlanError });
  t.snapshot(error.message);
});
