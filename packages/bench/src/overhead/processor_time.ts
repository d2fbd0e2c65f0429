import { readFileSync } from "node:fs";

/** The kernel reports processor time in hundredths of a second. */
const TICKS_PER_SECOND = 100;
/** Indexes of `utime` and `stime` among the fields after the command name. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/**
 * Reads the processor time that a process has used.
 * @param processId The process's ID.
 * @returns User and system time in seconds.
 */
export function processorSeconds(processId: number): number {
  const line = readFileSync(`/proc/${processId}/stat`, "utf8");
  const fields = line.slice(line.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
  return ticks / TICKS_PER_SECOND;
}
