/** Hop-by-hop headers, which are not forwarded (RFC 9110, 7.6.1). */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/**
 * Lists the hop-by-hop headers of a message: the fixed ones and those that its
 * `Connection` headers name.
 * @param connectionValues The values of its `Connection` headers.
 * @returns The header names in lower case.
 */
export function connectionHeaders(
  connectionValues: readonly string[],
): Set<string> {
  const names = new Set(CONNECTION_HEADERS);
  for (const value of connectionValues) {
    for (const token of value.split(",")) names.add(token.trim().toLowerCase());
  }
  return names;
}
