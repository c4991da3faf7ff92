/**
 * Follows which experts are in demand, from counts since the last sample. Old
 * counts fade; when the newest ones contradict them, they are dropped, since
 * demand changes at once and an average across the change fits neither side.
 */

/** Time in which a count loses all but a third of its weight. */
const DECAY_TIME_CONSTANT_MS = 1_500;
/** The newest counts that are compared with the faded ones. */
const RECENT_WINDOW_MS = 260;
/**
 * Part of the choices that has to differ for demand to have changed. Requests
 * of one moment differ from those of the next by up to 0.12.
 */
const DEMAND_SHIFT_SHARE = 0.15;

interface Sample {
  readonly atMs: number;
  readonly counts: readonly number[];
}

/** Opaque; changed in place. */
export interface DemandEstimate {
  recent: Sample[];
  decayedCounts: number[] | undefined;
  lastAtMs: number | undefined;
}

export function createDemandEstimate(): DemandEstimate {
  return {
    recent: [],
    decayedCounts: undefined,
    lastAtMs: undefined,
  };
}

/** Takes in how often each expert was chosen since the last sample. */
export function recordChoices(
  state: DemandEstimate,
  { counts, nowMs }: {
    /** Of all ranks together, set after set. */
    readonly counts: readonly number[];
    readonly nowMs: number;
  },
): void {
  state.recent = [
    ...state.recent.filter(({ atMs }) => nowMs - atMs < RECENT_WINDOW_MS),
    { atMs: nowMs, counts },
  ];
  const recent = sumSamples(state.recent);
  const { decayedCounts, lastAtMs = nowMs } = state;
  state.lastAtMs = nowMs;
  if (decayedCounts === undefined || decayedCounts.length !== counts.length) {
    state.decayedCounts = [...counts];
    return;
  }
  if (computeShiftedShare(decayedCounts, recent) > DEMAND_SHIFT_SHARE) {
    // Samples before the newest one may be of the time before the change.
    state.decayedCounts = [...counts];
    state.recent = [{ atMs: nowMs, counts }];
    return;
  }
  const kept = Math.exp(-(nowMs - lastAtMs) / DECAY_TIME_CONSTANT_MS);
  state.decayedCounts = decayedCounts.map((value, index) =>
    value * kept + counts[index]!
  );
}

/** Demand by set; `undefined` before any choice. */
export function estimateDemandBySet(
  { decayedCounts }: DemandEstimate,
  expertsPerSet: number,
): readonly (readonly number[])[] | undefined {
  if (
    decayedCounts === undefined || decayedCounts.every((value) => value === 0)
  ) {
    return undefined;
  }
  const sets = Math.floor(decayedCounts.length / expertsPerSet);
  return Array.from(
    { length: sets },
    (_, set) =>
      decayedCounts.slice(set * expertsPerSet, (set + 1) * expertsPerSet),
  );
}

function sumSamples(samples: readonly Sample[]): readonly number[] {
  const [first, ...rest] = samples;
  const sum = [...(first?.counts ?? [])];
  for (const { counts } of rest) {
    counts.forEach((count, index) => sum[index]! += count);
  }
  return sum;
}

/** Part of the choices, from 0 to 1, that went elsewhere. */
function computeShiftedShare(
  left: readonly number[],
  right: readonly number[],
): number {
  const leftTotal = total(left);
  const rightTotal = total(right);
  if (leftTotal === 0 || rightTotal === 0) return 0;
  let distance = 0;
  left.forEach((value, index) => {
    distance += Math.abs(value / leftTotal - right[index]! / rightTotal);
  });
  return distance / 2;
}

function total(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
