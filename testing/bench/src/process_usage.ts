/** Processor time and resident memory of a process, read from `/proc`. */

import { readFileSync } from "node:fs";

const TICKS_PER_SECOND = 100;
const KIBIBYTE = 1_024;
/** Indexes among the fields that follow the command name, the state being 0. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

export function readProcessUsage(pid: number): ProcessUsage {
  return {
    cpuSeconds: parseCpuSeconds(readFileSync(`/proc/${pid}/stat`, "utf8")),
    residentBytes: parseResidentBytes(
      readFileSync(`/proc/${pid}/status`, "utf8"),
    ),
  };
}

/** Parses `/proc/PID/stat`, where the command name may contain spaces. */
export function parseCpuSeconds(stat: string): number {
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TICKS_FIELD]) +
    Number(fields[SYSTEM_TICKS_FIELD]);
  return ticks / TICKS_PER_SECOND;
}

export function parseResidentBytes(status: string): number {
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(status);
  if (match === null) {
    throw new Error("Process status contains no resident memory (VmRSS)");
  }
  return Number(match[1]) * KIBIBYTE;
}
