import type { GenerationFrame } from "../engine_client.ts";
import { isGenerationFrame } from "./generation_line.ts";
import { parseJson } from "./stated_failure.ts";

type FrameHead = Pick<GenerationFrame, "request" | "attempt" | "adapter">;

const SEQUENCE_KEY = ',"sequence":';
const TOKENS_KEY = ',"tokens":';
const LINE_END = "]}";

/**
 * Parses the lines of one stream. Most lines repeat the head of the line
 * before, so a head is parsed once, and for the lines that start with the
 * same text only the sequence and the tokens are. The values are those that
 * parsing each whole line would give.
 */
export class FrameReader {
  #headText: string | undefined;
  #head: FrameHead | undefined;

  /**
   * Parses a line.
   * @param line One line of the stream.
   * @returns The value, a frame or not; `undefined` where it is not JSON.
   */
  read(line: string): unknown {
    const frame = this.#readAfterHead(line);
    if (frame !== undefined) return frame;
    const value = parseJson(line);
    if (isGenerationFrame(value)) this.#learnHead(line);
    return value;
  }

  #readAfterHead(line: string): GenerationFrame | undefined {
    const head = this.#head;
    if (head === undefined || this.#headText === undefined) return undefined;
    if (!line.startsWith(this.#headText)) return undefined;
    const numberStart = this.#headText.length;
    const numberEnd = line.indexOf(TOKENS_KEY, numberStart);
    if (numberEnd < 0 || !line.endsWith(LINE_END)) return undefined;
    const sequence = readDigits(line, numberStart, numberEnd);
    const tokens = parseJson(line.slice(numberEnd + TOKENS_KEY.length, -1));
    if (sequence === undefined || !isStrings(tokens)) return undefined;
    const { request, attempt, adapter } = head;
    return { request, attempt, sequence, tokens, adapter };
  }

  /** Keeps the head only where it is whole: all that precedes the sequence. */
  #learnHead(line: string): void {
    const headEnd = line.indexOf(SEQUENCE_KEY);
    const head = headEnd < 0
      ? undefined
      : parseJson(`${line.slice(0, headEnd)}${SEQUENCE_KEY}0,"tokens":[]}`);
    if (!isGenerationFrame(head) || Object.keys(head).length !== FRAME_KEYS) {
      return;
    }
    const { request, attempt, adapter } = head;
    this.#head = { request, attempt, adapter };
    this.#headText = line.slice(0, headEnd + SEQUENCE_KEY.length);
  }
}

/** Request, attempt, adapter, sequence and tokens. */
const FRAME_KEYS = 5;

const DIGIT_ZERO = 48;
const DIGIT_NINE = 57;
const MOST_DIGITS = 9;

function readDigits(
  text: string,
  start: number,
  end: number,
): number | undefined {
  if (end <= start || end - start > MOST_DIGITS) return undefined;
  const first = text.charCodeAt(start);
  if (first === DIGIT_ZERO && end - start > 1) return undefined;
  let value = 0;
  for (let place = start; place < end; place += 1) {
    const digit = text.charCodeAt(place);
    if (digit < DIGIT_ZERO || digit > DIGIT_NINE) return undefined;
    value = value * 10 + digit - DIGIT_ZERO;
  }
  return value;
}

function isStrings(value: unknown): value is readonly string[] {
  if (!Array.isArray(value)) return false;
  for (const item of value) {
    if (typeof item !== "string") return false;
  }
  return true;
}
