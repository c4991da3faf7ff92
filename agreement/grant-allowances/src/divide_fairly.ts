/**
 * Max-min fair division: nobody gets more than it wants, and what is left over
 * by those who want little is divided evenly among the rest.
 */

/** The largest amount that any one may have of `available`. */
export function fairCeiling(
  wants: readonly number[],
  available: number,
): number {
  const ascending = [...wants].sort((left, right) => left - right);
  let left = available;
  for (let index = 0; index < ascending.length; index++) {
    const even = left / (ascending.length - index);
    const want = ascending[index]!;
    if (want > even) return even;
    left -= want;
  }
  return Infinity;
}
