/** Counts the prompt parts of interrupted requests. */

import type { LostPart } from "./types.ts";

/**
 * Returns each part of the prompts with the number of prompts that have it.
 * `prompts` are lists of part ids, in their order in the prompt.
 */
export function countLostParts(
  prompts: readonly (readonly string[])[],
): readonly LostPart[] {
  const byPart = new Map<string, LostPart>();
  for (const parts of prompts) {
    parts.forEach((part, position) => {
      const known = byPart.get(part);
      byPart.set(part, {
        part,
        requests: (known?.requests ?? 0) + 1,
        depth: Math.max(known?.depth ?? 0, position),
      });
    });
  }
  return [...byPart.values()];
}
