/** An invariant of the product that did not hold: a fault of the program. */
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
 * Asserts an invariant in the running program.
 * @param condition What must hold.
 * @param invariant The invariant's name.
 * @param detail Builds the detail of the message only when it is needed.
 */
export function assertInvariant(
  condition: boolean,
  invariant: string,
  detail: () => string,
): asserts condition {
  if (!condition) throw new InvariantViolation(invariant, detail());
}
