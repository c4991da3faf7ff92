/** Digests of keys, and comparisons whose time tells nothing of the secret. */

import { createHash, timingSafeEqual } from "node:crypto";

/** SHA-256 in lower-case hexadecimal. */
export function digestKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

export function matchesDigest(key: string, digest: string): boolean {
  return areEqualDigests(digestKey(key), digest);
}

/** Compares secrets of any length by their digests. */
export function isSameSecret(given: string, expected: string): boolean {
  return areEqualDigests(digestKey(given), digestKey(expected));
}

function areEqualDigests(first: string, second: string): boolean {
  const a = Buffer.from(first);
  const b = Buffer.from(second);
  return a.length === b.length && timingSafeEqual(a, b);
}
