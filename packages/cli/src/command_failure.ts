import type { ExitCode } from "./exit_code.ts";

/** Why a command failed, and what the operator can do. */
export interface CommandFailure {
  readonly code: ExitCode;
  readonly message: string;
  /** What the operator can do, in whole sentences. */
  readonly remedy?: string;
  /** The id of the change that the failure concerns, if there is one. */
  readonly change?: string;
}

/**
 * Formats a failure as text.
 * @param failure The failure.
 * @returns The message, followed by the remedy if there is one.
 */
export function formatCommandFailure(failure: CommandFailure): string {
  const lines = [`foxtailwind: ${failure.message}`];
  if (failure.remedy !== undefined) lines.push(failure.remedy);
  return lines.join("\n");
}
