import type { Header } from "@foxtailwind/edges";
import { connectionHeaders } from "../http/connection_headers.ts";

const HOST = "host";
const CONTENT_LENGTH = "content-length";
const LEAVING_HEADER = "foxtailwind-leaving";

/**
 * Selects the request headers to forward to the service.
 * @param raw Alternating names and values, as received.
 * @returns The headers, repeated ones as separate entries.
 */
export function forwardedRequestHeaders(
  raw: readonly string[],
): readonly Header[] {
  const headers: Header[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    headers.push({ name: raw[index] ?? "", value: raw[index + 1] ?? "" });
  }
  const dropped = findDroppedNames(headers);
  dropped.add(CONTENT_LENGTH);
  return headers.filter(({ name }) => !dropped.has(name.toLowerCase()));
}

/**
 * Selects the response headers to forward to the caller.
 * @param headers The headers of the service's response.
 * @param method The request method; a HEAD response keeps its length.
 * @returns The headers to forward.
 */
export function forwardedResponseHeaders(
  headers: readonly Header[],
  method: string,
): readonly Header[] {
  const dropped = findDroppedNames(headers);
  dropped.add(LEAVING_HEADER);
  if (method !== "HEAD") dropped.add(CONTENT_LENGTH);
  return headers.filter(({ name }) => !dropped.has(name.toLowerCase()));
}

function findDroppedNames(headers: readonly Header[]): Set<string> {
  const connection = headers.filter(({ name }) =>
    name.toLowerCase() === "connection"
  );
  const dropped = connectionHeaders(connection.map(({ value }) => value));
  dropped.add(HOST);
  return dropped;
}
