import type { ArgumentsCamelCase, Argv } from "yargs";
import * as z from "zod";
import { addWriteOptions, type WriteOptions } from "./write_options.ts";
import type { GlobalOptions } from "./command.ts";

/** The options that specify a latency target. */
export interface TargetOptions extends WriteOptions {
  readonly "first-token": number;
  readonly "between-tokens": number | undefined;
  readonly "whole-answer": number | undefined;
}

/** The schema of a latency target in responses of a node. */
export const latencyTargetSchema = z.object({
  firstTokenMilliseconds: z.number(),
  betweenTokensMilliseconds: z.number().optional(),
  wholeAnswerMilliseconds: z.number().optional(),
});

/** A latency target, as in responses of a node and in published changes. */
export type LatencyTarget = z.output<typeof latencyTargetSchema>;

/** The names of the columns that show a latency target. */
export const TARGET_COLUMN_NAMES = [
  "first token ms",
  "between tokens ms",
  "whole answer ms",
] as const;

/**
 * Adds the options that specify a latency target.
 * @param parser The command's parser.
 * @returns The parser with the options.
 */
export function addTargetOptions(
  parser: Argv<GlobalOptions>,
): Argv<TargetOptions> {
  return addWriteOptions(parser)
    .option("first-token", {
      type: "number",
      demandOption: true,
      describe: "Milliseconds until the answer starts",
    })
    .option("between-tokens", {
      type: "number",
      describe: "Milliseconds between two tokens",
    })
    .option("whole-answer", {
      type: "number",
      describe: "Milliseconds until the answer is whole",
    });
}

/**
 * Creates a latency target from the parsed options.
 * @param options The parsed options.
 * @returns The target, in the form of a published change.
 */
export function toLatencyTarget(
  options: ArgumentsCamelCase<TargetOptions>,
): LatencyTarget {
  return {
    firstTokenMilliseconds: options.firstToken,
    ...(options.betweenTokens !== undefined &&
      { betweenTokensMilliseconds: options.betweenTokens }),
    ...(options.wholeAnswer !== undefined &&
      { wholeAnswerMilliseconds: options.wholeAnswer }),
  };
}

/**
 * Converts a latency target to the cells below {@link TARGET_COLUMN_NAMES}.
 * @param target The target.
 * @returns The cells.
 */
export function toTargetCells(
  target: LatencyTarget,
): readonly (number | undefined)[] {
  return [
    target.firstTokenMilliseconds,
    target.betweenTokensMilliseconds,
    target.wholeAnswerMilliseconds,
  ];
}
