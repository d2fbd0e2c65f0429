import { type ContentDigest, contentDigest } from "@foxtailwind/core";
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Characters of a digest: 132 bits, enough to make collisions negligible. */
const DIGEST_LENGTH = 22;
/** Separates the digested parts; none of them contains it. */
const SEPARATOR = "\0";

/**
 * The content of a request, independent of its id and of the node that
 * received it.
 */
export class RequestContent {
  readonly #message: Pick<IncomingMessage, "method" | "url" | "headers">;
  readonly #body: Buffer | undefined;
  #digest: ContentDigest | undefined;

  /**
   * @param message The head of the request.
   * @param body The complete body.
   */
  constructor(
    message: Pick<IncomingMessage, "method" | "url" | "headers">,
    body: Buffer | undefined,
  ) {
    this.#message = message;
    this.#body = body;
  }

  /** The digest of method, host, path and body, computed on first use. */
  get digest(): ContentDigest {
    this.#digest ??= this.#computeDigest();
    return this.#digest;
  }

  #computeDigest(): ContentDigest {
    const { method = "", url = "", headers } = this.#message;
    const hash = createHash("sha256");
    hash.update([method, headers.host ?? "", url, ""].join(SEPARATOR));
    if (this.#body !== undefined) hash.update(this.#body);
    return contentDigest(
      hash.digest("base64url").slice(0, DIGEST_LENGTH),
    );
  }
}
