import { type ContentDigest, contentDigest } from "@foxtailwind/core";
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Characters of a digest: 132 bits, so that no two contents share one. */
const DIGEST_CHARACTERS = 22;
/** Between the parts that are digested; none of them holds it. */
const SEPARATOR = "\0";

/** What a request asks a server for, under whatever id and at whatever node. */
export class RequestContent {
  readonly #message: Pick<IncomingMessage, "method" | "url" | "headers">;
  readonly #body: Buffer | undefined;
  #digest: ContentDigest | undefined;

  /**
   * @param message The request's head.
   * @param body Its whole body.
   */
  constructor(
    message: Pick<IncomingMessage, "method" | "url" | "headers">,
    body: Buffer | undefined,
  ) {
    this.#message = message;
    this.#body = body;
  }

  /** The digest of method, host, path and body, worked out on first use. */
  get digest(): ContentDigest {
    this.#digest ??= this.#compute();
    return this.#digest;
  }

  #compute(): ContentDigest {
    const { method = "", url = "", headers } = this.#message;
    const hash = createHash("sha256");
    hash.update([method, headers.host ?? "", url, ""].join(SEPARATOR));
    if (this.#body !== undefined) hash.update(this.#body);
    return contentDigest(
      hash.digest("base64url").slice(0, DIGEST_CHARACTERS),
    );
  }
}
