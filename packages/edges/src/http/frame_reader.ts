import type { GenerationFrame } from "../engine_client.ts";
import { isGenerationFrame } from "./generation_line.ts";
import { parseJson } from "./reported_failure.ts";

type FramePrefix = Pick<GenerationFrame, "request" | "attempt" | "adapter">;

const SEQUENCE_KEY = ',"sequence":';
const TOKENS_KEY = ',"tokens":';
const LINE_END = "]}";

/**
 * Parses the lines of one stream. Most lines repeat the text before the
 * sequence of the previous line, so this prefix is parsed once and cached; of
 * lines that start with the same text, only the sequence and the tokens are
 * parsed. The results equal those of parsing each line with `JSON.parse`.
 */
export class FrameReader {
  #prefixText: string | undefined;
  #prefix: FramePrefix | undefined;

  /**
   * Parses a line.
   * @param line One line of the stream.
   * @returns The value, a frame or not; `undefined` if it is not JSON.
   */
  read(line: string): unknown {
    const frame = this.#readWithCachedPrefix(line);
    if (frame !== undefined) return frame;
    const value = parseJson(line);
    if (isGenerationFrame(value)) this.#cachePrefix(line);
    return value;
  }

  #readWithCachedPrefix(line: string): GenerationFrame | undefined {
    const prefix = this.#prefix;
    if (prefix === undefined || this.#prefixText === undefined) {
      return undefined;
    }
    if (!line.startsWith(this.#prefixText)) return undefined;
    const sequenceStart = this.#prefixText.length;
    const sequenceEnd = line.indexOf(TOKENS_KEY, sequenceStart);
    if (sequenceEnd < 0 || !line.endsWith(LINE_END)) return undefined;
    const sequence = parseSequence(line, sequenceStart, sequenceEnd);
    const tokens = parseJson(line.slice(sequenceEnd + TOKENS_KEY.length, -1));
    if (sequence === undefined || !isStringArray(tokens)) return undefined;
    const { request, attempt, adapter } = prefix;
    return { request, attempt, sequence, tokens, adapter };
  }

  /** Caches the prefix only if it holds all fields but sequence and tokens. */
  #cachePrefix(line: string): void {
    const prefixEnd = line.indexOf(SEQUENCE_KEY);
    const prefix = prefixEnd < 0
      ? undefined
      : parseJson(`${line.slice(0, prefixEnd)}${SEQUENCE_KEY}0,"tokens":[]}`);
    if (
      !isGenerationFrame(prefix) ||
      Object.keys(prefix).length !== FRAME_KEY_COUNT
    ) {
      return;
    }
    const { request, attempt, adapter } = prefix;
    this.#prefix = { request, attempt, adapter };
    this.#prefixText = line.slice(0, prefixEnd + SEQUENCE_KEY.length);
  }
}

/** The fields request, attempt, adapter, sequence and tokens. */
const FRAME_KEY_COUNT = 5;

const CHARACTER_CODE_ZERO = 48;
const CHARACTER_CODE_NINE = 57;
const MAXIMUM_SEQUENCE_DIGITS = 9;

function parseSequence(
  text: string,
  start: number,
  end: number,
): number | undefined {
  if (end <= start || end - start > MAXIMUM_SEQUENCE_DIGITS) return undefined;
  const first = text.charCodeAt(start);
  if (first === CHARACTER_CODE_ZERO && end - start > 1) return undefined;
  let value = 0;
  for (let index = start; index < end; index += 1) {
    const digit = text.charCodeAt(index);
    if (digit < CHARACTER_CODE_ZERO || digit > CHARACTER_CODE_NINE) {
      return undefined;
    }
    value = value * 10 + digit - CHARACTER_CODE_ZERO;
  }
  return value;
}

function isStringArray(value: unknown): value is readonly string[] {
  if (!Array.isArray(value)) return false;
  for (const item of value) {
    if (typeof item !== "string") return false;
  }
  return true;
}
