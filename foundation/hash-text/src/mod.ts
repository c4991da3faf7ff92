/**
 * A text hash that is the same on all nodes, so that they agree without
 * communication, for example in rendezvous hashing.
 */

import createXxhash from "xxhash-wasm";

/** Hashes a text to a 32-bit unsigned number, the same on every node and version. */
export type TextHash = (text: string) => number;

/** Loads the hash, which is XXH32 with seed 0 over the UTF-8 bytes of the text. */
export async function createTextHash(): Promise<TextHash> {
  const { h32 } = await createXxhash();
  return (text) => h32(text);
}
