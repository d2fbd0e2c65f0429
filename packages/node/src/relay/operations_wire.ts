/** A caller's query for node addresses. */
export interface CallerAddressQuery {
  /** The failure domain of the caller, if stated. */
  readonly failureDomain?: string;
}

/** The HTTP format of readiness checks and address queries. */
export abstract class OperationsWire {
  /** The path of readiness checks. */
  abstract readonly readinessPath: string;
  /** The path of address queries. */
  abstract readonly addressesPath: string;

  /**
   * Parses an address query.
   * @param query The fields of the query string.
   * @returns The address query.
   */
  abstract readAddressQuery(
    query: Readonly<Record<string, string | undefined>>,
  ): CallerAddressQuery;

  /**
   * Formats the answer to an address query.
   * @param addresses IP literals and ports.
   * @param lifetimeSeconds How long the addresses may be used.
   * @returns The JSON body.
   */
  abstract writeAddresses(
    addresses: readonly string[],
    lifetimeSeconds: number,
  ): string;
}
