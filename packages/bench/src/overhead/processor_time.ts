import { readFileSync } from "node:fs";

/** The kernel counts processor time in hundredths of a second. */
const TICKS_PER_SECOND = 100;
/** Places of utime and stime after the command's name in the kernel's line. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/**
 * Reads how much processor time a process has used.
 * @param processId The process.
 * @returns Seconds, those of the kernel on its behalf included.
 */
export function processorSeconds(processId: number): number {
  const line = readFileSync(`/proc/${processId}/stat`, "utf8");
  const fields = line.slice(line.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
  return ticks / TICKS_PER_SECOND;
}
