import { readFileSync } from "node:fs";

/** Processor time since a process started, and its resident memory. */
export interface ProcessUsage {
  readonly processorSeconds: number;
  readonly residentBytes: number;
}

const TICKS_PER_SECOND = 100;
const BYTES_PER_PAGE = 4_096;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const RESIDENT_PAGES_FIELD = 21;

/**
 * Reads the resource usage of a process from `/proc`.
 * @param processId The process's ID.
 * @returns Its usage; all zero if the process no longer exists.
 */
export function readProcessUsage(processId: number): ProcessUsage {
  try {
    const text = readFileSync(`/proc/${processId}/stat`, "utf8");
    // The name, in parentheses, may contain spaces, so the fields are counted
    // from its end.
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[USER_TICKS_FIELD]) +
      Number(fields[SYSTEM_TICKS_FIELD]);
    return {
      processorSeconds: ticks / TICKS_PER_SECOND,
      residentBytes: Number(fields[RESIDENT_PAGES_FIELD]) * BYTES_PER_PAGE,
    };
  } catch {
    return { processorSeconds: 0, residentBytes: 0 };
  }
}
