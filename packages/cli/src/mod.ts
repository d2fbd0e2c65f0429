/**
 * The command-line tool for operators.
 * @module
 */
export * from "./client/node_client.ts";
export * from "./command_failure.ts";
export * from "./command_line.ts";
export * from "./commands/command.ts";
export * from "./commands/mod.ts";
export type { ExplanationsResponse } from "./commands/explain.ts";
export type {
  HistogramsResponse,
  HistogramSummary,
} from "./commands/histograms.ts";
export * from "./exit_code.ts";
export * from "./output/command_output.ts";
export * from "./output/explanation_text.ts";
export * from "./output/histogram_page.ts";
export * from "./output/histogram_text.ts";
export * from "./output/table.ts";
