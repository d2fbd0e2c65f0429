import Table from "cli-table3";
import { linePlot, type Spread } from "../policy/mod.ts";
import { READING_POLICIES, type ReadingOutcome } from "./reading_experiment.ts";

const PERCENT = 100;

/**
 * Puts outcomes into a table: mean [minimum to maximum] over seeds.
 * @param outcomes The outcomes.
 * @returns The text.
 */
export function readingTable(outcomes: readonly ReadingOutcome[]): string {
  const table = new Table({
    head: ["engine", "load", "policy", "late pauses %", "late first events %"],
    style: { head: [], border: [] },
  });
  for (const { policy, load, isSlow, pauses, firstEvents } of outcomes) {
    table.push([
      engineName(isSlow),
      String(load),
      policy,
      formatShare(pauses),
      formatShare(firstEvents),
    ]);
  }
  return table.toString();
}

/**
 * Draws what is late over the load, for each kind of engine.
 * @param outcomes The outcomes.
 * @param loads The loads, in their order and as far apart as the first two.
 * @returns An HTML page.
 */
export function readingPage(
  outcomes: readonly ReadingOutcome[],
  loads: readonly number[],
): string {
  const plots = [false, true].map((isSlow) =>
    linePlot({
      title: `${engineName(isSlow)} engine: late, in 100 of their kind`,
      lines: READING_POLICIES.flatMap(({ name }) => {
        const own = outcomes.filter((one) =>
          one.policy === name && one.isSlow === isSlow
        );
        return [
          {
            name: `${name}: pauses`,
            values: own.map(({ pauses }) => PERCENT * pauses.mean),
          },
          {
            name: `${name}: first events`,
            values: own.map(({ firstEvents }) => PERCENT * firstEvents.mean),
          },
        ];
      }),
      step: (loads[1] ?? 0) - (loads[0] ?? 0),
      horizontal: `share of the time that prompts fill, from ${loads[0] ?? 0}`,
      vertical: "%",
      marks: [],
    })
  );
  return `<!doctype html><meta charset="utf-8"><title>Reading</title>${
    plots.join("")
  }`;
}

function engineName(isSlow: boolean): string {
  return isSlow ? "slow" : "normal";
}

function formatShare({ mean, minimum, maximum }: Spread): string {
  const [middle, least, most] = [mean, minimum, maximum]
    .map((share) => (PERCENT * share).toFixed(2));
  return `${middle} [${least} to ${most}]`;
}
