import type { Header } from "@foxtailwind/edges";
import { connectionHeaders } from "../http/connection_headers.ts";

const HOST = "host";
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

function droppedNames(headers: readonly Header[]): Set<string> {
  const connection = headers.filter(({ name }) =>
    name.toLowerCase() === "connection"
  );
  const dropped = connectionHeaders(connection.map(({ value }) => value));
  dropped.add(HOST);
  return dropped;
}
