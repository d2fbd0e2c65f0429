import type { ExitCode } from "./exit_code.ts";

/** Why a command did not do its work, and what the operator can do. */
export interface CommandFailure {
  readonly code: ExitCode;
  readonly message: string;
  /** What to do next, as a whole sentence. */
  readonly remedy?: string;
  /** The change that the failure is about, where there is one. */
  readonly change?: string;
}

/**
 * Writes a failure for people.
 * @param failure The failure.
 * @returns One or two lines.
 */
export function formatCommandFailure(failure: CommandFailure): string {
  const lines = [`foxtailwind: ${failure.message}`];
  if (failure.remedy !== undefined) lines.push(failure.remedy);
  return lines.join("\n");
}
