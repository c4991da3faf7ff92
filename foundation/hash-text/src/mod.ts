/** The hash by which nodes agree without talking, such as for rendezvous. */

import createXxhash from "xxhash-wasm";

/** A 32-bit unsigned number for a text; equal on every node and version. */
export type TextHash = (text: string) => number;

/** Loads the hash; it is XXH32 with seed 0 over the text's UTF-8. */
export async function createTextHash(): Promise<TextHash> {
  const { h32 } = await createXxhash();
  return (text) => h32(text);
}
