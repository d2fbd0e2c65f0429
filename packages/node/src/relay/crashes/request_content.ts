import {
  type ContentDigest,
  contentDigest,
  type PromptPartId,
  type ServiceId,
  type Suspect,
} from "@foxtailwind/core";
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Characters of a digest: 132 bits, enough to make collisions negligible. */
const DIGEST_LENGTH = 22;
/** Characters of a digest that tells services apart. */
const SERVICE_DIGEST_LENGTH = 8;
/** Separates the digested fields; none of them contains it. */
const SEPARATOR = "\0";

/** The parts of a prompt that other requests to a service may share. */
export interface SharedPrompt {
  readonly service: ServiceId;
  readonly parts: readonly PromptPartId[];
}

/**
 * The content of a request, independent of its id and of the node that
 * received it.
 */
export class RequestContent {
  readonly #message: Pick<IncomingMessage, "method" | "url" | "headers">;
  #body: Buffer | undefined;
  readonly #prompt: SharedPrompt | undefined;
  #digest: ContentDigest | undefined;
  #partDigests: readonly ContentDigest[] | undefined;

  /**
   * @param message The head of the request.
   * @param body The complete body.
   * @param prompt The shared parts of its prompt.
   */
  constructor(
    message: Pick<IncomingMessage, "method" | "url" | "headers">,
    body: Buffer | undefined,
    prompt?: SharedPrompt,
  ) {
    this.#message = message;
    this.#body = body;
    this.#prompt = prompt;
  }

  /** The digest of method, host, path and body, computed on first use. */
  get digest(): ContentDigest {
    this.#digest ??= this.#computeDigest();
    return this.#digest;
  }

  /** The digests of the shared parts of its prompt, computed on first use. */
  get partDigests(): readonly ContentDigest[] {
    this.#partDigests ??= this.#computePartDigests();
    return this.#partDigests;
  }

  /** Drops the body, of which only the digest is needed from now on. */
  releaseBody(): void {
    this.#digest ??= this.#computeDigest();
    this.#body = undefined;
  }

  /** What of the request may crash servers. */
  get suspects(): readonly Suspect[] {
    return [
      { content: this.digest },
      ...this.partDigests.map((content, partPosition) => ({
        content,
        partPosition,
      })),
    ];
  }

  /** A part is suspected at one service only: others run other engines. */
  #computePartDigests(): readonly ContentDigest[] {
    if (this.#prompt === undefined) return [];
    const { service, parts } = this.#prompt;
    if (parts.length === 0) return [];
    const scope = createHash("sha256").update(service).digest("base64url")
      .slice(0, SERVICE_DIGEST_LENGTH);
    return parts.map((part) => contentDigest(`part-${part}-${scope}`));
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
