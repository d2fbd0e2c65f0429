import * as z from "zod";

/** A node that callers may send requests to. */
export interface NodeEndpoint {
  readonly id: string;
  /** IP literal and port. */
  readonly http: string;
}

const answerSchema = z.object({
  addresses: z.array(z.object({ node: z.string(), url: z.string() })),
  expires_in_seconds: z.number().positive(),
  key_scope: z.string(),
});

const MILLISECONDS_PER_SECOND = 1_000;
const REQUEST_TIMEOUT_MILLISECONDS = 1_000;

/**
 * Caches the addresses of nodes until they expire, as callers do. An address
 * that does not answer is excluded until the next successful refresh.
 */
export class AddressBook {
  readonly #bootstrapNodes: readonly NodeEndpoint[];
  #current: readonly NodeEndpoint[];
  #expiresAt = 0;
  #turnCount = 0;
  #keyScope = "";

  /** @param known The nodes in the caller's settings, used first and as a fallback. */
  constructor(known: readonly NodeEndpoint[]) {
    this.#bootstrapNodes = known;
    this.#current = known;
  }

  /** The prefix with which a key needs no claim in the log. */
  get keyScope(): string {
    return this.#keyScope;
  }

  /** Returns the next node in round-robin order. */
  next(): NodeEndpoint {
    this.#turnCount += 1;
    const node = this.#current[this.#turnCount % this.#current.length] ??
      this.#bootstrapNodes[0];
    if (node === undefined) throw new Error("The address book has no nodes.");
    return node;
  }

  /**
   * Excludes a node that did not answer, unless it is the last one.
   * @param id The id of the node.
   */
  exclude(id: string): void {
    const remaining = this.#current.filter((node) => node.id !== id);
    if (remaining.length > 0) this.#current = remaining;
  }

  /**
   * Fetches the addresses again if they have expired.
   * @param now The monotonic time of the process in milliseconds.
   */
  async refresh(now: number): Promise<void> {
    if (now < this.#expiresAt) return;
    this.#expiresAt = now + MILLISECONDS_PER_SECOND;
    for (const node of [...this.#current, ...this.#bootstrapNodes]) {
      const answer = await fetchAddresses(node);
      if (answer === undefined) continue;
      this.#current = answer.addresses.map((address) => ({
        id: address.node,
        http: new URL(address.url).host,
      }));
      this.#keyScope = answer.key_scope;
      this.#expiresAt = now +
        answer.expires_in_seconds * MILLISECONDS_PER_SECOND;
      return;
    }
  }
}

async function fetchAddresses(
  node: NodeEndpoint,
): Promise<z.output<typeof answerSchema> | undefined> {
  try {
    const response = await fetch(`http://${node.http}/v1/addresses`, {
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
    });
    const parsed = answerSchema.safeParse(await response.json());
    return parsed.success && parsed.data.addresses.length > 0
      ? parsed.data
      : undefined;
  } catch {
    return undefined;
  }
}
