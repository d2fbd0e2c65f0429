import Table from "cli-table3";
import { linePlot, type Spread } from "../policy/mod.ts";
import { PREFILL_POLICIES, type PrefillOutcome } from "./reading_experiment.ts";

const PERCENT = 100;

/**
 * Formats outcomes as a table: mean [minimum to maximum] over seeds.
 * @param outcomes The outcomes of the experiment.
 * @returns The table as text.
 */
export function formatPrefillTable(
  outcomes: readonly PrefillOutcome[],
): string {
  const table = new Table({
    head: ["engine", "load", "policy", "late pauses %", "late first events %"],
    style: { head: [], border: [] },
  });
  for (
    const {
      policy,
      prefillLoad,
      isSlow,
      latePauseShare,
      lateFirstEventShare,
    } of outcomes
  ) {
    table.push([
      engineName(isSlow),
      String(prefillLoad),
      policy,
      formatShare(latePauseShare),
      formatShare(lateFirstEventShare),
    ]);
  }
  return table.toString();
}

/**
 * Plots the late shares over the load, for each kind of engine.
 * @param outcomes The outcomes of the experiment.
 * @param loads The loads in ascending order, evenly spaced.
 * @returns An HTML page.
 */
export function formatPrefillPage(
  outcomes: readonly PrefillOutcome[],
  loads: readonly number[],
): string {
  const plots = [false, true].map((isSlow) =>
    linePlot({
      title: `${engineName(isSlow)} engine: late, in 100 of their kind`,
      lines: PREFILL_POLICIES.flatMap(({ name }) => {
        const policyOutcomes = outcomes.filter((outcome) =>
          outcome.policy === name && outcome.isSlow === isSlow
        );
        return [
          {
            name: `${name}: pauses`,
            values: policyOutcomes.map(({ latePauseShare }) =>
              PERCENT * latePauseShare.mean
            ),
          },
          {
            name: `${name}: first events`,
            values: policyOutcomes.map(({ lateFirstEventShare }) =>
              PERCENT * lateFirstEventShare.mean
            ),
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
  const [meanText, minimumText, maximumText] = [mean, minimum, maximum]
    .map((share) => (PERCENT * share).toFixed(2));
  return `${meanText} [${minimumText} to ${maximumText}]`;
}
