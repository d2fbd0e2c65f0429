/** The exit codes of the process, as documented in docs/OPERATORS.md. */
export const EXIT_CODE = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  notFound: 4,
  unreachable: 5,
  unknown: 6,
  unavailable: 7,
} as const;

/** One of the documented exit codes. */
export type ExitCode = typeof EXIT_CODE[keyof typeof EXIT_CODE];
