import {
  engineId,
  failureDomainId,
  modelId,
  regionId,
  serviceId,
} from "@foxtailwind/core";
import type { Vm, VmRole } from "@foxtailwind/edges";
import { Daemon, LoggerFactory, settingsSchema } from "@foxtailwind/node";
import {
  FakeEngine,
  type FakeEngineSettings,
  FakeLogService,
  FakePlainService,
  type FakePlainServiceSettings,
  FakeVmList,
} from "@foxtailwind/standins";
import type { ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";

/** Options of {@link startDeployment}. */
export interface DeploymentOptions {
  readonly nodes?: number;
  /** Settings of each server of the service "booking". */
  readonly servers?: readonly Partial<FakePlainServiceSettings>[];
  readonly engine?: Partial<FakeEngineSettings>;
  readonly addressLifetimeSeconds?: number;
  readonly maximumStopSeconds?: number;
}

/** Daemons and stand-ins that run in the test's process. */
export interface Deployment {
  readonly vmList: FakeVmList;
  readonly log: FakeLogService;
  readonly daemons: readonly Daemon[];
  /** `http://` addresses of the daemons. */
  readonly urls: readonly string[];
  readonly servers: readonly FakePlainService[];
  readonly engine: FakeEngine | undefined;
  /** Makes all daemons read the VM list. */
  readonly refresh: () => Promise<void>;
}

const LOG_LEVEL_SILENT = -999;
const DOMAIN = failureDomainId("domain-1");
const POLL_MILLISECONDS = 5;

/**
 * Starts daemons and stand-ins, which stop at the end of the test.
 * @param t The test.
 * @param size The options.
 * @returns The deployment.
 */
export async function startDeployment(
  t: ExecutionContext,
  size: DeploymentOptions,
): Promise<Deployment> {
  const vmList = new FakeVmList();
  const log = new FakeLogService();
  await Promise.all([vmList.listen(), log.listen()]);
  t.teardown(() => Promise.all([vmList.close(), log.close()]));
  const servers = await startServers(t, vmList, size.servers ?? []);
  const engine = await startEngine(t, vmList, size.engine);
  const started = await Promise.all(
    Array.from(
      { length: size.nodes ?? 1 },
      (_, index) => startDaemon(t, { index, size, log, vmList }),
    ),
  );
  const daemons = started.map(({ daemon }) => daemon);
  const refresh = async (): Promise<void> => {
    await Promise.all(daemons.map((daemon) => daemon.directory.refresh()));
  };
  await refresh();
  const urls = started.map(({ url }) => url);
  return { vmList, log, daemons, urls, servers, engine, refresh };
}

/**
 * Waits until a condition holds, by polling.
 * @param condition The condition.
 */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(POLL_MILLISECONDS);
}

/**
 * Builds the VM list entry of a VM in the test's only failure domain.
 * @param id The VM's id.
 * @param address Its HTTP address, with or without `http://`.
 * @param role Its role.
 * @returns The VM, live.
 */
export function buildVm(id: string, address: string, role: VmRole): Vm {
  return {
    id,
    address: address.replace("http://", ""),
    region: regionId("region-1"),
    failureDomain: DOMAIN,
    role,
    state: "live",
  };
}

async function startServers(
  t: ExecutionContext,
  vmList: FakeVmList,
  settings: readonly Partial<FakePlainServiceSettings>[],
): Promise<readonly FakePlainService[]> {
  return await Promise.all(settings.map(async (serverSettings, index) => {
    const id = `server-${index + 1}`;
    const server = new FakePlainService({ id, ...serverSettings });
    const address = await server.listen();
    t.teardown(() => server.close());
    const service = serviceId("booking");
    vmList.setVm(buildVm(id, address, { kind: "service", service }));
    return server;
  }));
}

async function startEngine(
  t: ExecutionContext,
  vmList: FakeVmList,
  settings: Partial<FakeEngineSettings> | undefined,
): Promise<FakeEngine | undefined> {
  if (settings === undefined) return undefined;
  const id = engineId("engine-1");
  const engine = new FakeEngine({ id, loadMilliseconds: 1, ...settings });
  const address = await engine.listen();
  t.teardown(() => engine.close());
  const role = {
    kind: "engine",
    model: modelId("base"),
    checksFencing: true,
  } as const;
  vmList.setVm(buildVm(id, address, role));
  return engine;
}

async function startDaemon(
  t: ExecutionContext,
  { index, size, log, vmList }: {
    readonly index: number;
    readonly size: DeploymentOptions;
    readonly log: FakeLogService;
    readonly vmList: FakeVmList;
  },
): Promise<{ readonly daemon: Daemon; readonly url: string }> {
  const id = `node-${index + 1}`;
  const settings = settingsSchema.parse({
    node: { id, region: "region-1", failure_domain: DOMAIN },
    listen: { http: "127.0.0.1:0", grpc: "127.0.0.1:0" },
    platform: {
      log: log.address,
      vm_list: vmList.address,
      weight_store: log.address,
    },
    addresses: { lifetime_seconds: size.addressLifetimeSeconds ?? 0.05 },
    stop: { longest_wait_seconds: size.maximumStopSeconds },
  });
  const daemon = new Daemon(
    settings,
    new LoggerFactory("human", LOG_LEVEL_SILENT),
  );
  const addresses = await daemon.start();
  t.teardown(() => daemon.stop());
  vmList.setVm({
    ...buildVm(id, addresses.http, { kind: "entry" }),
    peerAddress: addresses.grpc,
  });
  return { daemon, url: `http://${addresses.http}` };
}
