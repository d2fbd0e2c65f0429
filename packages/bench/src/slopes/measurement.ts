import process from "node:process";

/** One measured value. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

/** The measured values of one subject at one size. */
export interface Measurement {
  /** The measured subject, such as "configuration". */
  readonly subject: string;
  /** The size as text, such as "36000 records". */
  readonly size: string;
  readonly figures: readonly Figure[];
}

const BYTES_PER_MEBIBYTE = 1_048_576;

/** Runs the garbage collector, which requires `--expose-gc`. */
function collectGarbage(): void {
  const collect = (globalThis as { readonly gc?: () => void }).gc;
  if (collect === undefined) {
    throw new Error("Cannot measure memory: run Node with --expose-gc");
  }
  // The second run frees what only objects freed by the first kept alive.
  collect();
  collect();
}

/**
 * Measures the processor time of a function.
 * @param work The function to run.
 * @returns User and system time in microseconds.
 */
export function measureProcessorMicroseconds(work: () => void): number {
  const before = process.cpuUsage();
  work();
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

/**
 * Measures the memory that a function's result keeps in use.
 * @param work Creates the result.
 * @returns The result and its memory in MiB, including array buffers.
 */
export function measureRetainedMemory<Held>(
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
