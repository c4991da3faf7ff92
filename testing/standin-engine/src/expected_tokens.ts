/** Computes the tokens of an answer, which depend on the prompt alone. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns all tokens of a completion of the prompt, in order. */
export function expectedTokens(prompt: string, maxTokens: number): string[] {
  const seed = hashText(prompt);
  return Array.from(
    { length: maxTokens },
    (_, index) => computeToken(seed, index),
  );
}

function computeToken(seed: number, index: number): string {
  const mixed = Math.imul(seed ^ Math.imul(index + 1, 0x9e3779b1), 0x85ebca6b);
  return ` ${(mixed >>> 8).toString(36)}`;
}

function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}
