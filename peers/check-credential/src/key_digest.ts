/** Digests of keys, and comparisons in constant time. */

import { createHash, timingSafeEqual } from "node:crypto";

/** Returns the SHA-256 digest in lower-case hexadecimal. */
export function digestKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

export function matchesDigest(key: string, digest: string): boolean {
  return areEqualDigests(digestKey(key), digest);
}

/** Compares secrets by their digests, which have the same length for any secret. */
export function isSameSecret(given: string, expected: string): boolean {
  return areEqualDigests(digestKey(given), digestKey(expected));
}

function areEqualDigests(first: string, second: string): boolean {
  const firstBytes = Buffer.from(first);
  const secondBytes = Buffer.from(second);
  return firstBytes.length === secondBytes.length &&
    timingSafeEqual(firstBytes, secondBytes);
}
