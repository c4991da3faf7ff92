/**
 * Encodes per-expert counts as compact text: each count is a variable-length
 * integer of seven bits per byte, least significant group first (LEB128), and
 * the bytes are in base64. The counts of all experts cross low-bandwidth links
 * several times a second.
 */

const PAYLOAD_MASK = 0x7f;
const CONTINUATION_BIT = 0x80;
const GROUP_SIZE = 0x80;

export function encodeCounts(counts: readonly number[]): string {
  const bytes: number[] = [];
  for (const count of counts) {
    let remainder = count;
    while (remainder > PAYLOAD_MASK) {
      bytes.push(remainder % GROUP_SIZE | CONTINUATION_BIT);
      remainder = Math.floor(remainder / GROUP_SIZE);
    }
    bytes.push(remainder);
  }
  return Buffer.from(bytes).toString("base64");
}

export function decodeCounts(text: string): readonly number[] {
  const counts: number[] = [];
  let count = 0;
  let placeValue = 1;
  for (const byte of Buffer.from(text, "base64")) {
    count += (byte & PAYLOAD_MASK) * placeValue;
    if ((byte & CONTINUATION_BIT) !== 0) {
      placeValue *= GROUP_SIZE;
      continue;
    }
    counts.push(count);
    count = 0;
    placeValue = 1;
  }
  return counts;
}

/** Sums the counts of several ranks per expert; `undefined` without any. */
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
