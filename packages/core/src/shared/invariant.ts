/** Thrown when an invariant does not hold, which means a program bug. */
export class InvariantViolation extends Error {
  /** The invariant's name, as docs/FAILURES.md lists it. */
  readonly invariant: string;

  constructor(invariant: string, detail: string) {
    super(`Invariant "${invariant}" does not hold: ${detail}`);
    this.name = "InvariantViolation";
    this.invariant = invariant;
  }
}

/**
 * Asserts an invariant at run time.
 * @param condition The condition that must hold.
 * @param invariant The invariant's name.
 * @param detail Builds the message's detail; called only on a violation.
 */
export function assertInvariant(
  condition: boolean,
  invariant: string,
  detail: () => string,
): asserts condition {
  if (!condition) throw new InvariantViolation(invariant, detail());
}
