/**
 * Distinguishes a crashed target from one that lost an answer. After a crash, the
 * target's running requests fail and it accepts no connection, or its object in
 * the store is removed or names another run of its process. An answer that was
 * lost, corrupted or interrupted leaves the target as it was.
 */

/**
 * Maximum time between a lost answer and the detection of the crash. A crashed
 * target is unreachable at once, and its object in the store is removed after
 * three missed heartbeats, which are about one second apart.
 */
const CRASH_WINDOW_MS = 5_000;
/** More than a target runs concurrently; older lost answers are dropped. */
const MAX_LOST_PER_TARGET = 64;

/** A target that is down, and what it was running. */
export interface CrashedTarget {
  /** False if the target was already known to be down. */
  readonly isNew: boolean;
  /** Distinct fingerprints of the requests whose answers were lost. */
  readonly fingerprints: readonly string[];
}

interface LostAnswer {
  readonly fingerprint: string;
  readonly atMs: number;
}

/** Opaque; mutated in place. */
export interface CrashState {
  /** Lost answers by target. */
  readonly lost: Map<string, LostAnswer[]>;
  /** Time of the latest detection that each target is down. */
  readonly downAtMs: Map<string, number>;
}

export function createCrashState(): CrashState {
  return { lost: new Map(), downAtMs: new Map() };
}

/**
 * Records that the answer to a request that the target may have started was lost.
 * Returns the request's fingerprint if the target is already known to be down.
 */
export function recordLostAnswer(
  state: CrashState,
  { target, fingerprint, nowMs }: {
    readonly target: string;
    readonly fingerprint: string;
    readonly nowMs: number;
  },
): readonly string[] {
  expireOld(state, nowMs);
  if (state.downAtMs.has(target)) return [fingerprint];
  const answers = state.lost.get(target) ?? [];
  answers.push({ fingerprint, atMs: nowMs });
  if (answers.length > MAX_LOST_PER_TARGET) answers.shift();
  state.lost.set(target, answers);
  return [];
}

/**
 * Records that a target is down. Returns the requests that were running when it
 * crashed.
 */
export function recordTargetDown(
  state: CrashState,
  { target, nowMs }: { readonly target: string; readonly nowMs: number },
): CrashedTarget {
  expireOld(state, nowMs);
  const isNew = !state.downAtMs.has(target);
  state.downAtMs.set(target, nowMs);
  const answers = state.lost.get(target) ?? [];
  state.lost.delete(target);
  const fingerprints = new Set(answers.map(({ fingerprint }) => fingerprint));
  return { isNew, fingerprints: [...fingerprints] };
}

function expireOld({ lost, downAtMs }: CrashState, nowMs: number): void {
  for (const [target, atMs] of downAtMs) {
    if (nowMs - atMs >= CRASH_WINDOW_MS) downAtMs.delete(target);
  }
  for (const [target, answers] of lost) {
    const fresh = answers.filter(({ atMs }) => nowMs - atMs < CRASH_WINDOW_MS);
    if (fresh.length > 0) lost.set(target, fresh);
    else lost.delete(target);
  }
}
