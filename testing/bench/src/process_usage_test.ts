import assert from "node:assert/strict";
import { test } from "node:test";
import {
  parseCpuSeconds,
  parseResidentBytes,
  readProcessUsage,
} from "./process_usage.ts";

test("Processor time and memory are parsed from the kernel's format", () => {
  const stat = "7 (no de) x) S 1 7 7 0 -1 4194560 5 0 0 0 150 50 0 0 20 0 11";
  assert.equal(parseCpuSeconds(stat), 2);
  assert.equal(parseResidentBytes("VmHWM:\t 9 kB\nVmRSS:\t   8 kB\n"), 8_192);
  assert.throws(
    () => parseResidentBytes("VmHWM:\t 9 kB\n"),
    /contains no resident memory/,
  );
});

test("This process's own usage is plausible", () => {
  const { cpuSeconds, residentBytes } = readProcessUsage(process.pid);
  const { user, system } = process.cpuUsage();
  assert.ok(Math.abs(cpuSeconds - (user + system) / 1e6) < 0.1);
  assert.ok(residentBytes > 10_000_000);
});
