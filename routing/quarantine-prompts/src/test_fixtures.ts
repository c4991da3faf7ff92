/** Fixtures of the tests: entries that exchange their reports. */

import { PromptQuarantine, type PromptQuarantineOptions } from "./mod.ts";

export const OPTIONS: Omit<PromptQuarantineOptions, "entry"> = {
  quarantineMs: 60_000,
  settleMs: 600,
  retentionMs: 60_000,
  maxParts: 1_000,
  maxCrashes: 64,
};

export function createQuarantine(entry = "entry-0"): PromptQuarantine {
  return PromptQuarantine.create({ ...OPTIONS, entry });
}

/** Records that prompts with these parts were answered. */
export function answerPrompts(
  quarantine: PromptQuarantine,
  { parts, count, nowMs }: {
    readonly parts: readonly string[];
    readonly count: number;
    readonly nowMs: number;
  },
): void {
  for (let index = 0; index < count; index++) {
    quarantine.recordSurvival(parts, nowMs);
  }
}
