/**
 * Rendezvous hashing: every member gets a score for a duty, and the highest
 * one is preferred. A member that comes or goes moves only its own duties.
 */

/** Gives a number that is well spread and the same on all nodes. */
export type HashFunction = (text: string) => number;

export interface PreferenceOptions {
  readonly duty: string;
  readonly members: readonly string[];
  readonly hash: HashFunction;
}

/** The preferred member; `undefined` if there is none. */
export function selectPreferred(
  options: PreferenceOptions,
): string | undefined {
  const { duty, members, hash } = options;
  const scored = members.map((member) => ({
    member,
    score: hash(`${duty}\n${member}`),
  }));
  return scored.reduce<(typeof scored)[number] | undefined>(
    (best, other) => best === undefined || isHigher(other, best) ? other : best,
    undefined,
  )?.member;
}

interface Scored {
  readonly member: string;
  readonly score: number;
}

function isHigher(one: Scored, other: Scored): boolean {
  if (one.score !== other.score) return one.score > other.score;
  return one.member > other.member;
}
