/** Who asks for addresses. */
export interface AddressQuestion {
  /** The failure domain of the caller, where it says so. */
  readonly failureDomain?: string;
}

/** How those around the node ask for its readiness and addresses. */
export abstract class OperationsWire {
  /** The path at which readiness is asked. */
  abstract readonly readinessPath: string;
  /** The path at which callers ask for addresses. */
  abstract readonly addressesPath: string;

  /**
   * Reads a question for addresses.
   * @param query The query's fields.
   * @returns The question.
   */
  abstract readQuestion(
    query: Readonly<Record<string, string | undefined>>,
  ): AddressQuestion;

  /**
   * Writes an answer to it.
   * @param addresses IP literals and ports.
   * @param lifetimeSeconds How long the answer may be used.
   * @returns The JSON body.
   */
  abstract writeAddresses(
    addresses: readonly string[],
    lifetimeSeconds: number,
  ): string;
}
