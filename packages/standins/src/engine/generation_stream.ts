import type { FastifyReply } from "fastify";
import type { SeededRandom } from "../shared/random.ts";
import type { Generation } from "./generation.ts";

/** What a stream does wrong. */
export interface StreamFaults {
  readonly duplicateProbability: number;
  readonly misorderProbability: number;
  /** The connection is lost once so many tokens were sent. */
  readonly dropAfterTokens: number | undefined;
}

/** How a stream sends. */
export interface GenerationStreamOptions {
  readonly fromSequence: number;
  readonly tokensPerFrame: number;
  readonly random: SeededRandom;
  /** The faults at present. */
  readonly readFaults: () => StreamFaults;
  /** Called when the reader's connection is gone. */
  readonly onClosed: () => void;
}

const MAXIMUM_FRAME_TOKENS = 64;
const STREAM_HEADERS = { "content-type": "application/x-ndjson" } as const;

/** Sends a generation's lines to its reader, as fast as the reader takes. */
export class GenerationStream {
  readonly #generation: Generation;
  readonly #reply: FastifyReply;
  readonly #options: GenerationStreamOptions;
  readonly #frameStart: string;
  #next: number;
  #sentTokens = 0;
  #held: string | undefined;
  #open = true;
  #blocked = false;

  /**
   * @param generation What to send.
   * @param reply The answer, which this stream takes over.
   * @param options How.
   */
  constructor(
    generation: Generation,
    reply: FastifyReply,
    options: GenerationStreamOptions,
  ) {
    this.#generation = generation;
    this.#reply = reply;
    this.#options = options;
    this.#next = options.fromSequence;
    this.#frameStart = frameStart(generation);
    reply.hijack();
    reply.raw.writeHead(200, STREAM_HEADERS);
    reply.raw.on("drain", () => {
      this.#blocked = false;
      this.flush();
    });
    reply.raw.on("close", () => {
      this.#open = false;
      options.onClosed();
    });
  }

  /** Sends what is ready: full frames, and the rest once it has ended. */
  flush(): void {
    const { ending, generated } = this.#generation;
    const least = ending === undefined ? this.#options.tokensPerFrame : 1;
    while (this.#open && !this.#blocked && generated - this.#next >= least) {
      this.#sendFrame(generated);
    }
    const whole = this.#next >= generated;
    if (ending === undefined || !whole || !this.#open || this.#blocked) return;
    this.#open = false;
    const line = ending.kind === "end"
      ? { end: { ...ending.end, attempt: this.#generation.attempt } }
      : { failure: ending.failure };
    this.#reply.raw.end(`${this.#takeHeld()}${JSON.stringify(line)}\n`);
  }

  /** Closes the connection without an end. */
  drop(): void {
    this.#open = false;
    this.#reply.raw.socket?.destroy();
  }

  #sendFrame(generated: number): void {
    const end = Math.min(generated, this.#next + MAXIMUM_FRAME_TOKENS);
    const line = this.#frameLine(this.#next, end);
    this.#sentTokens += end - this.#next;
    this.#next = end;
    const faults = this.#options.readFaults();
    this.#blocked = !this.#reply.raw.write(this.#spoil(line, faults));
    const { dropAfterTokens } = faults;
    if (dropAfterTokens !== undefined && this.#sentTokens >= dropAfterTokens) {
      this.drop();
    }
  }

  #frameLine(start: number, end: number): string {
    let tokens = "";
    for (let sequence = start; sequence < end; sequence += 1) {
      const text = JSON.stringify(this.#generation.tokenText(sequence));
      tokens += sequence === start ? text : `,${text}`;
    }
    return `${this.#frameStart}${start},"tokens":[${tokens}]}\n`;
  }

  /** Holds a frame back to send it after the next one, or sends it twice. */
  #spoil(line: string, faults: StreamFaults): string {
    const { random } = this.#options;
    if (
      this.#held === undefined && random.happens(faults.misorderProbability)
    ) {
      this.#held = line;
      return "";
    }
    const sent = line + this.#takeHeld();
    return random.happens(faults.duplicateProbability) ? sent + line : sent;
  }

  #takeHeld(): string {
    const held = this.#held ?? "";
    this.#held = undefined;
    return held;
  }
}

function frameStart(generation: Generation): string {
  const { request, attempt, adapter } = generation;
  const fields = JSON.stringify({ request, attempt, adapter });
  return `${fields.slice(0, -1)},"sequence":`;
}
