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
/**
 * A crash breaks all connections of its target at once, so an answer that was lost
 * earlier than this before the last one was not lost in the crash.
 */
const CRASH_SPREAD_MS = 1_000;
/**
 * An answer that was sent before a crash may be read shortly after the break of
 * another connection.
 */
const ALIVE_DELAY_MS = 250;
/** More than a target runs concurrently; older lost answers are dropped. */
const MAX_LOST_PER_TARGET = 64;

/** A request whose answer was lost. */
export interface LostRequest {
  /** Undefined if the loss says nothing about the request as a whole. */
  readonly fingerprint: string | undefined;
  /** Parts of its prompt that may be the cause if its target has crashed. */
  readonly promptParts: readonly string[];
}

/** A target that is down, and the requests that its crash interrupted. */
export interface Crash {
  readonly target: string;
  /** False if the target was already known to be down. */
  readonly isNew: boolean;
  /** When the first answer was lost; the time of detection if none was. */
  readonly atMs: number;
  /** All requests that are known to have been interrupted. */
  readonly lost: readonly LostRequest[];
  /** Those of them that were not returned before. */
  readonly added: readonly LostRequest[];
}

interface LostAnswer {
  readonly request: LostRequest;
  readonly atMs: number;
}

interface DownTarget {
  /** Time of the latest detection. */
  detectedAtMs: number;
  readonly answers: LostAnswer[];
}

/** Opaque; mutated in place. */
export interface CrashState {
  /** Lost answers by target, of targets that are not known to be down. */
  readonly lost: Map<string, LostAnswer[]>;
  readonly down: Map<string, DownTarget>;
}

export function createCrashState(): CrashState {
  return { lost: new Map(), down: new Map() };
}

/**
 * Records that the answer to a request that the target may have started was lost.
 * Returns the crash if the target is already known to be down.
 */
export function recordLostAnswer(
  state: CrashState,
  { target, request, nowMs }: {
    readonly target: string;
    readonly request: LostRequest;
    readonly nowMs: number;
  },
): Crash | undefined {
  expireOld(state, nowMs);
  const answer: LostAnswer = { request, atMs: nowMs };
  const down = state.down.get(target);
  if (down !== undefined) {
    addAnswer(down.answers, answer);
    return createCrash({ target, down, added: [answer], isNew: false });
  }
  const answers = state.lost.get(target) ?? [];
  addAnswer(answers, answer);
  state.lost.set(target, answers);
  return undefined;
}

/**
 * Records that a target is down. Returns the requests that were running when it
 * crashed.
 */
export function recordTargetDown(
  state: CrashState,
  { target, nowMs }: { readonly target: string; readonly nowMs: number },
): Crash {
  expireOld(state, nowMs);
  const known = state.down.get(target);
  if (known !== undefined) {
    known.detectedAtMs = nowMs;
    return createCrash({ target, down: known, added: [], isNew: false });
  }
  const answers = selectInterrupted(state.lost.get(target) ?? []);
  state.lost.delete(target);
  const down: DownTarget = { detectedAtMs: nowMs, answers };
  state.down.set(target, down);
  return createCrash({ target, down, added: answers, isNew: true });
}

/** Records that a target has answered, so it has not crashed until then. */
export function recordTargetAlive(
  { lost, down }: CrashState,
  { target, nowMs }: { readonly target: string; readonly nowMs: number },
): void {
  const answers = lost.get(target) ?? [];
  const recent = answers.filter(({ atMs }) => nowMs - atMs < ALIVE_DELAY_MS);
  if (recent.length > 0) lost.set(target, recent);
  else lost.delete(target);
  const detectedAtMs = down.get(target)?.detectedAtMs ?? nowMs;
  if (nowMs - detectedAtMs >= ALIVE_DELAY_MS) down.delete(target);
}

function addAnswer(answers: LostAnswer[], answer: LostAnswer): void {
  answers.push(answer);
  if (answers.length > MAX_LOST_PER_TARGET) answers.shift();
}

function selectInterrupted(answers: readonly LostAnswer[]): LostAnswer[] {
  const lastMs = answers.at(-1)?.atMs ?? 0;
  return answers.filter(({ atMs }) => lastMs - atMs < CRASH_SPREAD_MS);
}

function createCrash(
  { target, down, added, isNew }: {
    readonly target: string;
    readonly down: DownTarget;
    readonly added: readonly LostAnswer[];
    readonly isNew: boolean;
  },
): Crash {
  const { answers, detectedAtMs } = down;
  const timesMs = answers.map(({ atMs }) => atMs);
  return {
    target,
    isNew,
    atMs: Math.min(detectedAtMs, ...timesMs),
    lost: answers.map(({ request }) => request),
    added: added.map(({ request }) => request),
  };
}

function expireOld({ lost, down }: CrashState, nowMs: number): void {
  for (const [target, { detectedAtMs }] of down) {
    if (nowMs - detectedAtMs >= CRASH_WINDOW_MS) down.delete(target);
  }
  for (const [target, answers] of lost) {
    const fresh = answers.filter(({ atMs }) => nowMs - atMs < CRASH_WINDOW_MS);
    if (fresh.length > 0) lost.set(target, fresh);
    else lost.delete(target);
  }
}
