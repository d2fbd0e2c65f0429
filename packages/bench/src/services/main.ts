/**
 * Compares the routing of calls to plain services with its baselines, in
 * virtual time, over several seeds.
 * @module
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import {
  measureServicePolicy,
  type ServiceMeasurement,
} from "./service_measurement.ts";
import { NAMED_POLICIES } from "./service_policies.ts";
import { formatServiceReport } from "./service_report.ts";
import { SERVICE_SCENARIOS } from "./service_scenarios.ts";

const options = await yargs(hideBin(process.argv))
  .option("seeds", {
    type: "number",
    default: 3,
    describe: "How many seeds to measure, from 1",
  })
  .strict()
  .parse();

const measurements: ServiceMeasurement[] = [];
for (const scenario of SERVICE_SCENARIOS) {
  for (const namedPolicy of NAMED_POLICIES) {
    for (let seed = 1; seed <= options.seeds; seed += 1) {
      measurements.push(measureServicePolicy(scenario, namedPolicy, seed));
    }
  }
}
process.stdout.write(`${formatServiceReport(measurements)}\n`);
