/**
 * Rendezvous hashing: every member gets a score for a duty, and the member with
 * the highest score is preferred. A member that joins or leaves moves only its
 * own duties.
 */

/** Returns a uniformly distributed number that is the same on all nodes. */
export type HashFunction = (text: string) => number;

export interface PreferenceOptions {
  readonly duty: string;
  readonly members: readonly string[];
  readonly hash: HashFunction;
}

/** Returns the preferred member; `undefined` if there are no members. */
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

interface ScoredMember {
  readonly member: string;
  readonly score: number;
}

function isHigher(left: ScoredMember, right: ScoredMember): boolean {
  if (left.score !== right.score) return left.score > right.score;
  return left.member > right.member;
}
