/** Counts as a short text: numbers separated by commas, nothing for a zero. */

export function encodeCounts(counts: readonly number[]): string {
  return counts.map((count) => count === 0 ? "" : String(count)).join(",");
}

export function decodeCounts(text: string): readonly number[] {
  return text.split(",").map((part) => Number(part) || 0);
}
