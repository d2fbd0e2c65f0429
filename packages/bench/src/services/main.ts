/**
 * Measures the routing to plain services against its baselines, in virtual
 * time, over several seeds.
 * @module
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { measureServices, type ServiceFigures } from "./measure_services.ts";
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

const figures: ServiceFigures[] = [];
for (const scenario of SERVICE_SCENARIOS) {
  for (const named of NAMED_POLICIES) {
    for (let seed = 1; seed <= options.seeds; seed += 1) {
      figures.push(measureServices(scenario, named, seed));
    }
  }
}
process.stdout.write(`${formatServiceReport(figures)}\n`);
