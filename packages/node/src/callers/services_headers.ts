import type { Header } from "@foxtailwind/edges";

/** Headers of one connection, which are not passed on (RFC 9110, 7.6.1). */
const HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

const CONTENT_LENGTH = "content-length";
const LEAVING = "foxtailwind-leaving";

/**
 * Gives a caller's headers as the service is to get them.
 * @param raw Names and values in turn, as they came.
 * @returns The headers, each occurrence by itself.
 */
export function requestHeaders(raw: readonly string[]): readonly Header[] {
  const headers: Header[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    headers.push({ name: raw[index] ?? "", value: raw[index + 1] ?? "" });
  }
  const dropped = droppedNames(headers);
  dropped.add(CONTENT_LENGTH);
  return headers.filter(({ name }) => !dropped.has(name.toLowerCase()));
}

/**
 * Gives a service's headers as the caller is to get them.
 * @param headers The headers of the answer.
 * @param method The call's method; the answer to HEAD keeps its length.
 * @returns The headers to pass on.
 */
export function answerHeaders(
  headers: readonly Header[],
  method: string,
): readonly Header[] {
  const dropped = droppedNames(headers);
  dropped.add(LEAVING);
  if (method !== "HEAD") dropped.add(CONTENT_LENGTH);
  return headers.filter(({ name }) => !dropped.has(name.toLowerCase()));
}

/** `Connection` names further headers that concern one connection only. */
function droppedNames(headers: readonly Header[]): Set<string> {
  const dropped = new Set(HOP_HEADERS);
  for (const { name, value } of headers) {
    if (name.toLowerCase() !== "connection") continue;
    for (const token of value.split(",")) {
      dropped.add(token.trim().toLowerCase());
    }
  }
  return dropped;
}
