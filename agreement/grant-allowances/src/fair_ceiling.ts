/**
 * Max-min fairness: no participant gets more than it wants, and what those with
 * small demands leave is divided evenly among the others.
 */

/**
 * Returns the largest amount of `available` that any participant may get;
 * `Infinity` if all of them can get what they want.
 */
export function computeFairCeiling(
  wants: readonly number[],
  available: number,
): number {
  const ascending = [...wants].sort((left, right) => left - right);
  let remaining = available;
  for (let index = 0; index < ascending.length; index++) {
    const evenPart = remaining / (ascending.length - index);
    const want = ascending[index]!;
    if (want > evenPart) return evenPart;
    remaining -= want;
  }
  return Infinity;
}
