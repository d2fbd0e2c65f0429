import type { ArgumentsCamelCase, Argv } from "yargs";
import * as z from "zod";
import { addWriteOptions, type WriteOptions } from "./write_options.ts";
import type { GlobalOptions } from "./command.ts";

/** The options that say a target. */
export interface TargetOptions extends WriteOptions {
  readonly "first-token": number;
  readonly "between-tokens": number | undefined;
  readonly "whole-answer": number | undefined;
}

/** A target, as a node answers it. */
export const latencyTargetSchema = z.object({
  firstTokenMilliseconds: z.number(),
  betweenTokensMilliseconds: z.number().optional(),
  wholeAnswerMilliseconds: z.number().optional(),
});

/** A target, as a node answers it. */
export type LatencyTarget = z.output<typeof latencyTargetSchema>;

/** The columns that show a target. */
export const TARGET_COLUMN_NAMES = [
  "first token ms",
  "between tokens ms",
  "whole answer ms",
] as const;

/**
 * Adds the options that say a target.
 * @param parser The parser.
 * @returns The parser with them.
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
 * Makes a target from the options.
 * @param options The options.
 * @returns The target, as records carry it.
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
 * Gives a target as cells of {@link TARGET_COLUMN_NAMES}.
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
