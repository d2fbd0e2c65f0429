/**
 * The fault benchmark: runs nodes, engines and the platform as processes on
 * loopback under load and injects faults one after another.
 * @module
 */
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { publishDemoConfiguration } from "../demo/demo_configuration.ts";
import { AddressBook } from "../load/address_book.ts";
import { auditFaults, type FaultCost } from "./fault_cost.ts";
import { ConfigurationProbe } from "./configuration_probe.ts";
import { auditBookings, type BookingAudit } from "./booking_audit.ts";
import { type Fault, type InjectedFault, listFaults } from "./fault.ts";
import { FaultCaller } from "./fault_caller.ts";
import { FaultCluster } from "./fault_cluster.ts";
import { FaultLoad } from "./fault_load.ts";
import { formatChecks, formatCosts, formatGaps } from "./fault_report.ts";
import { GapProbe, readCounters } from "./gap_probe.ts";
import { readProcessUsage } from "./process_usage.ts";

const SETTLE_MILLISECONDS = 3_000;
const WARM_UP_MILLISECONDS = 10_000;

const options = await yargs(hideBin(process.argv))
  .scriptName("bench:faults")
  .option("nodes", { type: "number", default: 6 })
  .option("engines", { type: "number", default: 4 })
  .option("adapters", { type: "number", default: 120 })
  .option("completions-per-second", { type: "number", default: 30 })
  .option("bookings-per-second", { type: "number", default: 10 })
  .option("free-key-share", {
    type: "number",
    default: 0.2,
    describe: "Share of bookings with a free key, which needs the log",
  })
  .option("log-outage-seconds", { type: "number", default: 60 })
  .option("only", {
    type: "string",
    describe: "Strike only the faults whose names contain this",
  })
  .option("seed", { type: "number", default: 1 })
  .option("detail", {
    type: "boolean",
    default: false,
    describe: "Print each request that did not end whole",
  })
  .strict()
  .parse();

const cluster = await FaultCluster.start({
  nodes: options.nodes,
  engines: options.engines,
  domains: 3,
  adapterSlots: 48,
});
const nodeAddresses = cluster.nodes.map(({ id, http }) => ({ id, http }));
await sleep(SETTLE_MILLISECONDS);
await publishDemoConfiguration(
  `http://${nodeAddresses[0]?.http ?? ""}`,
  options.adapters,
);
await sleep(SETTLE_MILLISECONDS);

const caller = new FaultCaller();
const load = new FaultLoad(caller, new AddressBook(nodeAddresses), {
  completionsPerSecond: options.completionsPerSecond,
  bookingsPerSecond: options.bookingsPerSecond,
  freeKeyShare: options.freeKeyShare,
  adapters: options.adapters,
  zipfExponent: 1,
  seed: options.seed,
});
const gapProbe = new GapProbe(cluster);
const configurationProbe = new ConfigurationProbe(() => cluster.nodes);
gapProbe.start();
const loadDone = load.run();
const configurationDone = configurationProbe.run();
await sleep(WARM_UP_MILLISECONDS);

const usageBefore = cluster.nodes.map(nodeUsage);
const injectedFaults: InjectedFault[] = [];
const selectedFaults = listFaults(options.logOutageSeconds * 1_000)
  .filter(({ name }) => name.includes(options.only ?? ""));
for (const fault of selectedFaults) {
  injectedFaults.push(await injectFault(fault));
}
reportUsage();

load.stop();
configurationProbe.stop();
gapProbe.stop();
await Promise.all([loadDone, configurationDone]);
const bookings = await auditBookings(
  cluster.platform.standIns.filter(({ kind }) => kind === "service")
    .map(({ address }) => address),
  load.records,
);
const counters = await Promise.all(
  cluster.engines.map(({ address }) => readCounters(address)),
);
const evictedInUse = counters.reduce(
  (sum, counted) => sum + (counted?.evictedInUse ?? 0),
  0,
);
const codes = await cluster.stop();
await caller.close();

const costs = auditFaults(load.records, injectedFaults);
print(formatCosts(costs));
print(formatGaps(gapProbe, injectedFaults));
print(formatChecks(configurationProbe.timings, bookings));
print(`Adapters evicted while serving: ${evictedInUse}.`);
print(`Exit codes of the planned stops at the end: ${codes.join(", ")}.`);
if (options.detail) printDetail();
process.exitCode = allChecksPass(costs, bookings) && evictedInUse === 0 ? 0 : 1;

async function injectFault(fault: Fault): Promise<InjectedFault> {
  print(`Now: ${fault.name}. Sent so far: ${load.sent}.`);
  const from = performance.now();
  await Promise.all([
    fault.inject(cluster),
    sleep(fault.observationMilliseconds),
  ]);
  return { fault, from, to: performance.now() };
}

function nodeUsage(node: FaultCluster["nodes"][number]) {
  const processId = node.program.processId ?? 0;
  return { processId, at: performance.now(), ...readProcessUsage(processId) };
}

function reportUsage(): void {
  cluster.nodes.forEach((node, index) => {
    const before = usageBefore[index];
    const after = nodeUsage(node);
    if (before === undefined || before.processId !== after.processId) return;
    const share = 100 * 1_000 *
      (after.processorSeconds - before.processorSeconds) /
      (after.at - before.at);
    const megabytes = after.residentBytes / 1_048_576;
    print(
      `${node.id}: ${share.toFixed(1)}% of a core with this load, ` +
        `${megabytes.toFixed(0)} MB resident.`,
    );
  });
}

function printDetail(): void {
  for (const record of load.records) {
    if (record.verdict === "whole") continue;
    print(
      `${record.kind} ${record.key} at ${record.node}: ${record.verdict} ` +
        record.detail.slice(0, 300),
    );
  }
}

function allChecksPass(
  costs: readonly FaultCost[],
  audit: BookingAudit,
): boolean {
  const hasFailedRequests = costs.some((cost) =>
    cost.cut + cost.lost + cost.misdelivered > 0
  );
  const bookingErrors = audit.ranRepeatedly.length +
    audit.ranThoughNotRun.length +
    audit.answeredButNotRun.length;
  return !hasFailedRequests && bookingErrors === 0;
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
