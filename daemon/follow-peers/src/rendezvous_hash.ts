/** Rendezvous hashing: every node names the same few for the same key. */

import type { TextHash } from "@dandelionbank/hash-text";

/** The `count` names that rank highest for `key`, best first. */
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
