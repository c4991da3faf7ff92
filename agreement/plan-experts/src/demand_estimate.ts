/**
 * Estimates the demand for each expert from samples of how often experts were
 * chosen. Counts decay exponentially. If the newest samples contradict the
 * decayed counts, these are dropped: demand changes abruptly, and an average
 * across a change matches neither the demand before nor the one after it.
 */

/** Time in which a count decays to 1/e, about a third, of its weight. */
const DECAY_TIME_CONSTANT_MS = 1_500;
/** Age up to which samples are compared with the decayed counts. */
const RECENT_WINDOW_MS = 260;
/**
 * Part of the choices that must differ for demand to count as changed. Without a
 * change, consecutive samples differ by up to 0.12.
 */
const DEMAND_SHIFT_SHARE = 0.15;

interface Sample {
  readonly atMs: number;
  readonly counts: readonly number[];
}

/** Opaque; mutated in place. */
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

/** Records how often each expert was chosen since the last sample. */
export function recordChoices(
  state: DemandEstimate,
  { counts, nowMs }: {
    /** Summed over all ranks; the layer sets follow one another. */
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
    // Samples other than the newest may precede the change.
    state.decayedCounts = [...counts];
    state.recent = [{ atMs: nowMs, counts }];
    return;
  }
  const decay = Math.exp(-(nowMs - lastAtMs) / DECAY_TIME_CONSTANT_MS);
  state.decayedCounts = decayedCounts.map((value, index) =>
    value * decay + counts[index]!
  );
}

/** Returns the demand by layer set; `undefined` before any choice. */
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

/** Part of the choices, from 0 to 1, that went to other experts. */
function computeShiftedShare(
  left: readonly number[],
  right: readonly number[],
): number {
  const leftTotal = sum(left);
  const rightTotal = sum(right);
  if (leftTotal === 0 || rightTotal === 0) return 0;
  let distance = 0;
  left.forEach((value, index) => {
    distance += Math.abs(value / leftTotal - right[index]! / rightTotal);
  });
  return distance / 2;
}

function sum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
