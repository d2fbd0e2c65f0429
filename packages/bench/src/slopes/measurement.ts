import process from "node:process";

/** A figure of a measurement. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

/** What one size of one subject cost. */
export interface Measurement {
  /** What was measured, such as "configuration". */
  readonly subject: string;
  /** The size, in words, such as "36000 records". */
  readonly size: string;
  readonly figures: readonly Figure[];
}

const BYTES_PER_MEBIBYTE = 1_048_576;

/** Collects garbage; the program is run with `--expose-gc`. */
function collectGarbage(): void {
  const collect = (globalThis as { readonly gc?: () => void }).gc;
  if (collect === undefined) throw new Error("Cannot measure without gc");
  // Once frees objects, once more what only they kept.
  collect();
  collect();
}

/**
 * Measures the processor time of some work.
 * @param work The work.
 * @returns User and system time in microseconds.
 */
export function processorMicroseconds(work: () => void): number {
  const before = process.cpuUsage();
  work();
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

/**
 * Measures the memory that the result of some work holds.
 * @param work Makes the result.
 * @returns The result and its memory in MiB, array buffers included.
 */
export function heldMemory<Held>(
  work: () => Held,
): { readonly held: Held; readonly mebibytes: number } {
  collectGarbage();
  const before = usedBytes();
  const held = work();
  collectGarbage();
  return { held, mebibytes: (usedBytes() - before) / BYTES_PER_MEBIBYTE };
}

function usedBytes(): number {
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
