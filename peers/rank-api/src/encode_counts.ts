/**
 * Counts as a short text: each as a number of seven bits a byte, the lowest
 * first, in base64. Counts of all experts cross narrow links several times a
 * second.
 */

const LOW_BITS = 0x7f;
const MORE = 0x80;
const STEP = 0x80;

export function encodeCounts(counts: readonly number[]): string {
  const bytes: number[] = [];
  for (const count of counts) {
    let rest = count;
    while (rest > LOW_BITS) {
      bytes.push(rest % STEP | MORE);
      rest = Math.floor(rest / STEP);
    }
    bytes.push(rest);
  }
  return Buffer.from(bytes).toString("base64");
}

export function decodeCounts(text: string): readonly number[] {
  const counts: number[] = [];
  let count = 0;
  let weight = 1;
  for (const byte of Buffer.from(text, "base64")) {
    count += (byte & LOW_BITS) * weight;
    if ((byte & MORE) !== 0) {
      weight *= STEP;
      continue;
    }
    counts.push(count);
    count = 0;
    weight = 1;
  }
  return counts;
}

/** Counts of several ranks together; `undefined` if there are none. */
export function sumEncodedCounts(
  encoded: readonly string[],
): readonly number[] | undefined {
  let sum: number[] | undefined;
  for (const text of encoded) {
    const counts = decodeCounts(text);
    if (sum === undefined) sum = [...counts];
    else counts.forEach((count, index) => sum![index]! += count);
  }
  return sum;
}
