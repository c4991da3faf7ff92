/** Fixtures of the tests: entries that exchange their reports. */

import {
  type LostPart,
  PromptQuarantine,
  type PromptQuarantineOptions,
} from "./mod.ts";

export const OPTIONS: Omit<PromptQuarantineOptions, "entry"> = {
  quarantineMs: 60_000,
  settleMs: 600,
  retentionMs: 60_000,
  maxSurvivals: 1_000,
  maxCrashes: 64,
};

export function createQuarantine(entry = "entry-0"): PromptQuarantine {
  return PromptQuarantine.create({ ...OPTIONS, entry });
}

/** Lost parts of requests whose prompts have these parts. */
export function countParts(
  prompts: readonly (readonly string[])[],
): readonly LostPart[] {
  const parts = new Map<string, LostPart>();
  for (const prompt of prompts) {
    prompt.forEach((part, depth) => {
      const requests = (parts.get(part)?.requests ?? 0) + 1;
      parts.set(part, { part, requests, depth });
    });
  }
  return [...parts.values()];
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
