/** The output of a command, for people and for programs. */
export interface CommandOutput {
  /** Printed by default. */
  readonly text: string;
  /** Printed with `--json`. */
  readonly json: unknown;
}

/**
 * Formats a command's output as text or JSON.
 * @param output The output.
 * @param json Whether to format it as JSON.
 * @returns The text, without a trailing line break.
 */
export function formatOutput(output: CommandOutput, json: boolean): string {
  return json ? JSON.stringify(output.json, undefined, 2) : output.text;
}
