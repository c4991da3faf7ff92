/** `digest`: prints the digest of a key, for the field `keyDigests` of an object. */

import { digestKey } from "@dandelionbank/check-credential";
import type { ToolContext } from "../tool_context.ts";
import { failUsage } from "../tool_failure.ts";

/**
 * Keys are sent in a header, so they are printable ASCII. A short key could be
 * recovered from its digest by brute force.
 */
const KEY_PATTERN = /^[\x21-\x7e]{16,1024}$/;

export interface DigestArguments {
  readonly json: boolean;
}

export async function printDigest(
  { json }: DigestArguments,
  context: ToolContext,
): Promise<void> {
  const key = (await context.readInput()).replace(/\r?\n$/, "");
  if (!KEY_PATTERN.test(key)) {
    throw failUsage(
      `Found a key of ${key.length} characters, expected 16 to 1024 printable ASCII characters without spaces`,
    );
  }
  const digest = digestKey(key);
  if (json) return context.printJson({ digest });
  context.print(digest);
}
