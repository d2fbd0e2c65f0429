import { gunzipSync, gzipSync } from "node:zlib";

const MAXIMUM_UNPACKED_BYTES = 1_024 * 1_024;

/**
 * Compresses a snapshot chunk for the log and for peers: gzip in base64.
 * @param chunk The chunk.
 * @returns The compressed chunk.
 */
export function packChunk(chunk: string): string {
  return gzipSync(chunk).toString("base64");
}

/**
 * Decompresses a snapshot chunk.
 * @param data The compressed chunk.
 * @returns The chunk, or `undefined` if it is corrupt or too large.
 */
export function unpackChunk(data: string): string | undefined {
  try {
    const options = { maxOutputLength: MAXIMUM_UNPACKED_BYTES };
    return gunzipSync(Buffer.from(data, "base64"), options).toString();
  } catch {
    return undefined;
  }
}
