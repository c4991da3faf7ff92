/** Rendezvous hashing: every node selects the same names for the same key. */

import type { TextHash } from "@dandelionbank/hash-text";

/** Returns the `count` names that rank highest for `key`, in descending order. */
export function pickByRendezvousHash(
  names: readonly string[],
  options: {
    readonly key: string;
    readonly count: number;
    readonly hash: TextHash;
  },
): readonly string[] {
  const { key, count, hash } = options;
  return names
    .map((name) => ({ name, rank: hash(`${key}\n${name}`) }))
    .sort((a, b) => b.rank - a.rank || (a.name < b.name ? -1 : 1))
    .slice(0, count)
    .map(({ name }) => name);
}
