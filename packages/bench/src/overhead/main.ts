/**
 * Measures the overhead of a node in one run: its added latency at half load
 * and its requests per second per core, compared with direct requests to the
 * same engines.
 * @module
 */
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { LoadPlan } from "./load_plan.ts";
import { OverheadCluster } from "./overhead_cluster.ts";
import { runPhase } from "./overhead_phase.ts";
import { formatOverhead } from "./overhead_report.ts";

const CLASS_NAME = "drafting";
const ADAPTERS = 32;
const DIRECT_SHARE = 0.2;
const SETTLE_MILLISECONDS = 2_000;
const HALF_LOAD_SHARE = 0.5;

const flags = await yargs(hideBin(process.argv))
  .option("seconds", { type: "number", default: 8 })
  .option("concurrency", { type: "number", default: 1_200 })
  .option("engines", { type: "number", default: 4 })
  .option("generators", { type: "number", default: 3 })
  .option("tokens", { type: "number", default: 215 })
  .option("tokens-per-frame", { type: "number", default: 8 })
  .option("step-milliseconds", { type: "number", default: 3 })
  .strict()
  .parse();

const adapters = Array.from(
  { length: ADAPTERS },
  (_, index) => `adapter-${index}@v1`,
);
const cluster = await OverheadCluster.start({
  engines: flags.engines,
  adapters,
  className: CLASS_NAME,
  engineSettings: [
    `adapter_slots=${2 * ADAPTERS}`,
    "batch_capacity=2048",
    "waiting_capacity=8192",
    `step_base_milliseconds=${flags.stepMilliseconds}`,
    "step_milliseconds_per_sequence=0",
    "prefill_milliseconds_per_token=0",
    `tokens_per_frame=${flags.tokensPerFrame}`,
    "keep_finished_milliseconds=100",
  ],
});
await sleep(SETTLE_MILLISECONDS);

const commonPlan: Omit<LoadPlan, "directShare" | "pacing"> = {
  node: `http://${cluster.node.http}`,
  engines: [...cluster.engines],
  warmMilliseconds: 3_000,
  measureMilliseconds: flags.seconds * 1_000,
  adapters,
  tokens: flags.tokens,
  className: CLASS_NAME,
  seed: 1,
};
const options = {
  generators: flags.generators,
  nodeProcessId: cluster.node.program.processId ?? 0,
};
const concurrentPacing = {
  kind: "concurrent",
  requests: flags.concurrency,
} as const;
const node = await runPhase(
  { ...commonPlan, directShare: 0, pacing: concurrentPacing },
  options,
);
const direct = await runPhase(
  { ...commonPlan, directShare: 1, pacing: concurrentPacing },
  options,
);
const halfLoadPerSecond = HALF_LOAD_SHARE * node.node.whole / node.seconds;
const halfLoad = await runPhase({
  ...commonPlan,
  directShare: DIRECT_SHARE,
  pacing: { kind: "paced", perSecond: halfLoadPerSecond / (1 - DIRECT_SHARE) },
}, options);
process.stdout.write(formatOverhead({
  node,
  direct,
  halfLoad,
  halfLoadPerSecond,
  tokens: flags.tokens,
}));
await cluster.stop();
process.exit(0);
