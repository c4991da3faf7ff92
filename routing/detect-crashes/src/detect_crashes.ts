/**
 * Tells a target that crashed from one that lost an answer. A crash breaks what
 * the target runs, and then the target takes no connection, or its entry in the
 * store goes or names another run. An answer that was lost, spoilt or cut leaves
 * the target as it was.
 */

/**
 * A target that crashed is out of reach at once, and its entry goes after three
 * of its beats, which are about a second apart.
 */
const CRASH_WINDOW_MS = 5_000;
/** More requests than targets run at a time; older ones are forgotten. */
const MAX_LOST_PER_TARGET = 64;

interface LostAnswer {
  readonly fingerprint: string;
  readonly atMs: number;
}

/** Opaque; changed in place. */
export interface CrashState {
  /** Lost answers by target. */
  readonly lost: Map<string, LostAnswer[]>;
  /** When each target was last seen to be down. */
  readonly downAtMs: Map<string, number>;
}

export function createCrashState(): CrashState {
  return { lost: new Map(), downAtMs: new Map() };
}

/**
 * The answer to a request that the target may have begun was lost. Returns its
 * fingerprint if the target is known to be down: that may be seen first.
 */
export function recordLostAnswer(
  state: CrashState,
  { target, fingerprint, nowMs }: {
    readonly target: string;
    readonly fingerprint: string;
    readonly nowMs: number;
  },
): readonly string[] {
  forgetOld(state, nowMs);
  if (state.downAtMs.has(target)) return [fingerprint];
  const answers = state.lost.get(target) ?? [];
  answers.push({ fingerprint, atMs: nowMs });
  if (answers.length > MAX_LOST_PER_TARGET) answers.shift();
  state.lost.set(target, answers);
  return [];
}

/** Fingerprints that were under way when the target crashed, each once. */
export function recordTargetDown(
  state: CrashState,
  { target, nowMs }: { readonly target: string; readonly nowMs: number },
): readonly string[] {
  forgetOld(state, nowMs);
  state.downAtMs.set(target, nowMs);
  const answers = state.lost.get(target) ?? [];
  state.lost.delete(target);
  return [...new Set(answers.map(({ fingerprint }) => fingerprint))];
}

function forgetOld({ lost, downAtMs }: CrashState, nowMs: number): void {
  for (const [target, atMs] of downAtMs) {
    if (nowMs - atMs >= CRASH_WINDOW_MS) downAtMs.delete(target);
  }
  for (const [target, answers] of lost) {
    const fresh = answers.filter(({ atMs }) => nowMs - atMs < CRASH_WINDOW_MS);
    if (fresh.length > 0) lost.set(target, fresh);
    else lost.delete(target);
  }
}
