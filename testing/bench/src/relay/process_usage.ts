/** What the kernel counts for a process: processor time and resident memory. */

import { readFileSync } from "node:fs";

const TICKS_PER_SECOND = 100;
const KIBIBYTE = 1_024;
/** Fields after the command's name, of which the first is the state. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

export function readUsage(pid: number): ProcessUsage {
  return {
    cpuSeconds: parseCpuSeconds(readFileSync(`/proc/${pid}/stat`, "utf8")),
    residentBytes: parseResidentBytes(
      readFileSync(`/proc/${pid}/status`, "utf8"),
    ),
  };
}

/** The command's name is in parentheses and may hold spaces. */
export function parseCpuSeconds(stat: string): number {
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
  return ticks / TICKS_PER_SECOND;
}

export function parseResidentBytes(status: string): number {
  const found = /^VmRSS:\s+(\d+) kB$/m.exec(status);
  if (found === null) throw new Error("Status shows no resident memory");
  return Number(found[1]) * KIBIBYTE;
}
