/**
 * Limits how deeply a value is nested. JSON of any depth can be parsed, but
 * functions that walk it, such as `JSON.stringify`, overflow the stack.
 */

/** Several times the depth of any object that the product writes. */
export const MAX_NESTING = 64;

/** Returns `null` in place of a value that is nested more deeply. */
export function limitNesting(value: unknown): unknown {
  let level: readonly unknown[] = [value];
  for (let depth = 0; depth <= MAX_NESTING; depth++) {
    level = level.flatMap(listParts);
    if (level.length === 0) return value;
  }
  return null;
}

function listParts(value: unknown): readonly unknown[] {
  return typeof value === "object" && value !== null
    ? Object.values(value)
    : [];
}
