/** What a command has to say, for people and for programs. */
export interface CommandOutput {
  /** Printed by default. */
  readonly text: string;
  /** Printed with `--json`. */
  readonly json: unknown;
}

/**
 * Writes an output in the form asked for.
 * @param output The output.
 * @param json Whether JSON is asked for.
 * @returns The text, without a last line break.
 */
export function formatOutput(output: CommandOutput, json: boolean): string {
  return json ? JSON.stringify(output.json, undefined, 2) : output.text;
}
