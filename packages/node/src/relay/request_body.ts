import type { IncomingMessage } from "node:http";

/** The result of reading a request's body. */
export type BodyResult =
  | { readonly kind: "read"; readonly bytes: Buffer | undefined }
  | { readonly kind: "too_large" }
  | { readonly kind: "broken" };

/**
 * Reads a complete body.
 * @param message The request.
 * @param limit The maximum length in bytes.
 * @returns The body, or why it can't be used.
 */
export function readBody(
  message: IncomingMessage,
  limit: number,
): Promise<BodyResult> {
  const statedLength = Number(message.headers["content-length"] ?? 0);
  if (statedLength > limit) return Promise.resolve({ kind: "too_large" });
  const hasBody = statedLength > 0 ||
    message.headers["transfer-encoding"] !== undefined;
  if (!hasBody) {
    message.resume();
    const bytes = message.headers["content-length"] === undefined
      ? undefined
      : Buffer.alloc(0);
    return Promise.resolve({ kind: "read", bytes });
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    message.on("data", (chunk: Buffer) => {
      length += chunk.length;
      if (length > limit) resolve({ kind: "too_large" });
      else chunks.push(chunk);
    });
    message.once("end", () => {
      resolve({ kind: "read", bytes: Buffer.concat(chunks) });
    });
    message.once("close", () => {
      resolve({ kind: "broken" });
    });
    message.once("error", () => {
      resolve({ kind: "broken" });
    });
  });
}
