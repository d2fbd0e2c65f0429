/** Headers of one connection, which are not passed on (RFC 9110, 7.6.1). */
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
 * Lists the headers of a message that concern one connection only: those that
 * always do, and those that its `Connection` headers name.
 * @param connectionValues The values of its `Connection` headers.
 * @returns Their names, in lowercase.
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
