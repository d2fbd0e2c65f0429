import * as z from "zod";
import type { GenerationEnd, GenerationFrame } from "../engine_client.ts";
import { generationEndSchema } from "./engine_schemas.ts";
import {
  type ReportedFailure,
  reportedFailureSchema,
} from "./reported_failure.ts";

/** The last line of a generation's stream: its end or a failure. */
export type GenerationEndLine =
  | { readonly kind: "end"; readonly end: GenerationEnd }
  | { readonly kind: "failure"; readonly failure: ReportedFailure };

const endLineSchema = z.union([
  z.object({ end: generationEndSchema }),
  z.object({ failure: reportedFailureSchema }),
]);

/**
 * Checks whether a parsed line is a frame. Uses no schema, because it runs for
 * each frame of each stream.
 * @param value The parsed line.
 * @returns Whether every field of a frame is present and has the right type.
 */
export function isGenerationFrame(value: unknown): value is GenerationFrame {
  if (typeof value !== "object" || value === null) return false;
  const frame = value as Partial<GenerationFrame>;
  return typeof frame.sequence === "number" &&
    typeof frame.request === "string" &&
    typeof frame.attempt === "number" &&
    isStringArray(frame.tokens) &&
    isAdapterReference(frame.adapter);
}

/**
 * Parses the line that ends a generation's stream.
 * @param value The parsed JSON of the line.
 * @returns The end or failure, or `undefined` if the line is neither.
 */
export function parseEndLine(value: unknown): GenerationEndLine | undefined {
  const parsed = endLineSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const line = parsed.data;
  return "end" in line
    ? { kind: "end", end: line.end }
    : { kind: "failure", failure: line.failure };
}

function isStringArray(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  for (const item of value) {
    if (typeof item !== "string") return false;
  }
  return true;
}

function isAdapterReference(value: unknown): boolean {
  if (typeof value !== "object" || value === null) return false;
  const reference = value as { adapter?: unknown; version?: unknown };
  return typeof reference.adapter === "string" &&
    typeof reference.version === "string";
}
