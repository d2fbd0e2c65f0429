import { gunzipSync, gzipSync } from "node:zlib";

const MAXIMUM_UNPACKED_BYTES = 1_024 * 1_024;

/**
 * Packs a chunk of a snapshot for the log and for peers: gzip in base64.
 * @param chunk The chunk.
 * @returns The packed text.
 */
export function packChunk(chunk: string): string {
  return gzipSync(chunk).toString("base64");
}

/**
 * Unpacks a chunk.
 * @param data The packed text.
 * @returns The chunk, or nothing where it is broken or too large.
 */
export function unpackChunk(data: string): string | undefined {
  try {
    const options = { maxOutputLength: MAXIMUM_UNPACKED_BYTES };
    return gunzipSync(Buffer.from(data, "base64"), options).toString();
  } catch {
    return undefined;
  }
}
