import type { FastifyReply } from "fastify";
import type { SeededRandom } from "../shared/random.ts";
import type { Generation } from "./generation.ts";

/** The faults of a stream. */
export interface StreamFaults {
  readonly duplicateProbability: number;
  readonly misorderProbability: number;
  /** The number of sent tokens after which the connection is dropped. */
  readonly dropAfterTokens: number | undefined;
}

/** The options of a `GenerationStream`. */
export interface GenerationStreamOptions {
  readonly fromSequence: number;
  readonly tokensPerFrame: number;
  readonly random: SeededRandom;
  /** Reads the current faults. */
  readonly readFaults: () => StreamFaults;
  /** Called when the reader's connection is closed. */
  readonly onClosed: () => void;
}

const MAXIMUM_FRAME_TOKENS = 64;
const RESPONSE_HEADERS = { "content-type": "application/x-ndjson" } as const;

/** Sends the lines of a generation to its reader, with backpressure. */
export class GenerationStream {
  readonly #generation: Generation;
  readonly #reply: FastifyReply;
  readonly #options: GenerationStreamOptions;
  readonly #framePrefix: string;
  #nextSequence: number;
  #sentTokens = 0;
  #heldFrame: string | undefined;
  #isOpen = true;
  #isBlocked = false;

  /**
   * @param generation The generation to send.
   * @param reply The HTTP response, which this stream hijacks.
   * @param options The options.
   */
  constructor(
    generation: Generation,
    reply: FastifyReply,
    options: GenerationStreamOptions,
  ) {
    this.#generation = generation;
    this.#reply = reply;
    this.#options = options;
    this.#nextSequence = options.fromSequence;
    this.#framePrefix = formatFramePrefix(generation);
    reply.hijack();
    reply.raw.writeHead(200, RESPONSE_HEADERS);
    reply.raw.on("drain", () => {
      this.#isBlocked = false;
      this.flush();
    });
    reply.raw.on("close", () => {
      this.#isOpen = false;
      options.onClosed();
    });
  }

  /**
   * Sends the full frames that are ready and, after the end of the generation,
   * the remaining tokens and the last line.
   */
  flush(): void {
    const { ending, generated } = this.#generation;
    const minimumTokens = ending === undefined
      ? this.#options.tokensPerFrame
      : 1;
    while (
      this.#isOpen && !this.#isBlocked &&
      generated - this.#nextSequence >= minimumTokens
    ) {
      this.#sendFrame(generated);
    }
    const isComplete = this.#nextSequence >= generated;
    if (
      ending === undefined || !isComplete || !this.#isOpen || this.#isBlocked
    ) return;
    this.#isOpen = false;
    const line = ending.kind === "end"
      ? { end: { ...ending.end, attempt: this.#generation.attempt } }
      : { failure: ending.failure };
    this.#reply.raw.end(`${this.#takeHeldFrame()}${JSON.stringify(line)}\n`);
  }

  /** Closes the connection without a last line. */
  drop(): void {
    this.#isOpen = false;
    this.#reply.raw.socket?.destroy();
  }

  #sendFrame(generated: number): void {
    const end = Math.min(generated, this.#nextSequence + MAXIMUM_FRAME_TOKENS);
    const line = this.#formatFrame(this.#nextSequence, end);
    this.#sentTokens += end - this.#nextSequence;
    this.#nextSequence = end;
    const faults = this.#options.readFaults();
    this.#isBlocked = !this.#reply.raw.write(
      this.#applyFrameFaults(line, faults),
    );
    const { dropAfterTokens } = faults;
    if (dropAfterTokens !== undefined && this.#sentTokens >= dropAfterTokens) {
      this.drop();
    }
  }

  #formatFrame(start: number, end: number): string {
    let tokens = "";
    for (let sequence = start; sequence < end; sequence += 1) {
      const text = JSON.stringify(this.#generation.tokenText(sequence));
      tokens += sequence === start ? text : `,${text}`;
    }
    return `${this.#framePrefix}${start},"tokens":[${tokens}]}\n`;
  }

  /** Withholds a frame to send it after the next one, or sends it twice. */
  #applyFrameFaults(line: string, faults: StreamFaults): string {
    const { random } = this.#options;
    if (
      this.#heldFrame === undefined &&
      random.happens(faults.misorderProbability)
    ) {
      this.#heldFrame = line;
      return "";
    }
    const sent = line + this.#takeHeldFrame();
    return random.happens(faults.duplicateProbability) ? sent + line : sent;
  }

  #takeHeldFrame(): string {
    const held = this.#heldFrame ?? "";
    this.#heldFrame = undefined;
    return held;
  }
}

function formatFramePrefix(generation: Generation): string {
  const { request, attempt, adapter } = generation;
  const fields = JSON.stringify({ request, attempt, adapter });
  return `${fields.slice(0, -1)},"sequence":`;
}
