import * as z from "zod";

/** A node that callers may use. */
export interface NamedNode {
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
const ASK_TIMEOUT_MILLISECONDS = 1_000;

/**
 * Keeps an address answer for its lifetime, as callers do. An address that
 * does not answer is left out until the next answer.
 */
export class AddressBook {
  readonly #known: readonly NamedNode[];
  #current: readonly NamedNode[];
  #expiresAt = 0;
  #turn = 0;
  #keyScope = "";

  /** @param known The nodes to ask, from the caller's own settings. */
  constructor(known: readonly NamedNode[]) {
    this.#known = known;
    this.#current = known;
  }

  /** What to put before a key, so that it needs no claim in the log. */
  get keyScope(): string {
    return this.#keyScope;
  }

  /** Chooses the next node in turn. */
  next(): NamedNode {
    this.#turn += 1;
    const node = this.#current[this.#turn % this.#current.length] ??
      this.#known[0];
    if (node === undefined) throw new Error("No node is known");
    return node;
  }

  /**
   * Leaves a node out that did not answer.
   * @param id The node.
   */
  avoid(id: string): void {
    const rest = this.#current.filter((node) => node.id !== id);
    if (rest.length > 0) this.#current = rest;
  }

  /**
   * Asks for addresses again where the last answer has expired.
   * @param now Milliseconds of the process's steady clock.
   */
  async refresh(now: number): Promise<void> {
    if (now < this.#expiresAt) return;
    this.#expiresAt = now + MILLISECONDS_PER_SECOND;
    for (const node of [...this.#current, ...this.#known]) {
      const answer = await ask(node);
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

async function ask(
  node: NamedNode,
): Promise<z.output<typeof answerSchema> | undefined> {
  try {
    const answer = await fetch(`http://${node.http}/v1/addresses`, {
      signal: AbortSignal.timeout(ASK_TIMEOUT_MILLISECONDS),
    });
    const parsed = answerSchema.safeParse(await answer.json());
    return parsed.success && parsed.data.addresses.length > 0
      ? parsed.data
      : undefined;
  } catch {
    return undefined;
  }
}
