/**
 * Keeps to the request limits that targets name in their answers.
 *
 * Load pattern: an overloaded target asks for at most some requests a second
 * from all entries together, often fewer than there are entries. An entry learns
 * of a limit from its own answers and from the reports of other entries, since
 * at a low limit most entries get no answer of their own.
 *
 * Each limit is divided evenly among some of the live entries, the senders,
 * which every entry chooses by the same hash. Senders are few enough that their
 * bursts of one request each stay small compared with the limit.
 *
 * A limit holds until an answer without one arrives. That answer must be to a
 * request that was sent after the limit was last named, because answers on
 * different connections overtake each other.
 */

import { TokenBucket } from "@dandelionbank/pace-requests";
import { mixHashes } from "@dandelionbank/pick-target";

/** Senders in addition to one per request a second of the limit. */
const BASE_SENDERS = 2;
/** Burst of a sender with a share of several requests a second. */
const BURST_MS = 250;
/**
 * Lowest rate at which a target gets requests. Without any, no answer could tell
 * that its limit has ended.
 */
const MIN_PER_S = 0.2;
/** How long a single observation is reported, as datagrams may be lost. */
export const REPORT_MS = 5_000;
/**
 * Limits the reports of each kind of an entry, so that its status fits into a
 * datagram.
 */
export const MAX_REPORTS = 32;
const MS_PER_S = 1_000;

export interface TargetLimitsOptions {
  /** This entry's name. */
  readonly entry: string;
  /** Returns an unsigned 32-bit hash, the same on all entries. */
  readonly hash: (text: string) => number;
}

/** What an entry has observed of a target's limit, for the other entries. */
export interface LimitReport {
  readonly target: string;
  /** Requests a second from all entries together; null after the limit ended. */
  readonly perSecond: number | null;
  /** Time since the observation. */
  readonly ageMs: number;
}

/** A change of the limit in force for a target. */
export interface LimitChange {
  readonly target: string;
  /** Undefined if the limit has ended. */
  readonly perSecond: number | undefined;
  /** This entry's share of the limit. */
  readonly sharePerSecond: number;
  readonly entryCount: number;
}

interface KnownLimit {
  readonly perSecond: number | undefined;
  readonly observedAtMs: number;
  /** True if this entry observed it, false if another entry reported it. */
  readonly isOwn: boolean;
  /** Admits this entry's share; undefined if the limit has ended. */
  readonly bucket: TokenBucket | undefined;
}

interface Observation {
  readonly target: string;
  readonly perSecond: number | undefined;
  readonly observedAtMs: number;
  readonly isOwn: boolean;
}

export class TargetLimits {
  readonly #options: TargetLimitsOptions;
  readonly #limits = new Map<string, KnownLimit>();
  /** Hashes of the live entries' names, this one included. */
  #entryHashes: readonly number[];
  #entryNames = "";

  private constructor(options: TargetLimitsOptions) {
    this.#options = options;
    this.#entryHashes = [options.hash(options.entry)];
  }

  static create(options: TargetLimitsOptions): TargetLimits {
    return new TargetLimits(options);
  }

  /** Records the limit named in an answer, or that the answer names none. */
  recordAnswer(
    { target, perSecond, sentAtMs }: {
      readonly target: string;
      readonly perSecond: number | undefined;
      /** When the request was sent. */
      readonly sentAtMs: number;
    },
    nowMs: number,
  ): LimitChange | undefined {
    const observedAtMs = perSecond === undefined ? sentAtMs : nowMs;
    return this.#record(
      { target, perSecond, observedAtMs, isOwn: true },
      nowMs,
    );
  }

  /** Applies what another entry has observed. */
  applyReports(
    reports: readonly LimitReport[],
    nowMs: number,
  ): readonly LimitChange[] {
    return reports.flatMap(({ target, perSecond, ageMs }) =>
      this.#record({
        target,
        perSecond: perSecond ?? undefined,
        observedAtMs: nowMs - ageMs,
        isOwn: false,
      }, nowMs) ?? []
    );
  }

  /** This entry's latest observations, for the other entries. */
  listReports(nowMs: number): readonly LimitReport[] {
    return [...this.#limits]
      .filter(([, { isOwn, perSecond, observedAtMs }]) =>
        isOwn &&
        (perSecond !== undefined || nowMs - observedAtMs < REPORT_MS)
      )
      .sort(([, left], [, right]) => right.observedAtMs - left.observedAtMs)
      .slice(0, MAX_REPORTS)
      .map(([target, { perSecond, observedAtMs }]) => ({
        target,
        perSecond: perSecond ?? null,
        ageMs: Math.max(0, Math.round(nowMs - observedAtMs)),
      }));
  }

  /** Sets the names of the other live entries, and divides the limits anew. */
  setOtherEntries(names: readonly string[], nowMs: number): void {
    const sorted = [...names].sort().join();
    if (sorted === this.#entryNames) return;
    const { entry, hash } = this.#options;
    this.#entryNames = sorted;
    this.#entryHashes = [entry, ...names].map(hash);
    for (const [target, { perSecond, bucket }] of this.#limits) {
      bucket?.setRate(this.#computeShare(target, perSecond) / MS_PER_S, nowMs);
    }
  }

  retainTargets(targets: ReadonlySet<string>): void {
    for (const target of this.#limits.keys()) {
      if (!targets.has(target)) this.#limits.delete(target);
    }
  }

  /**
   * Returns the time until this entry may send the target another request: 0 if
   * it may now, infinite if this entry is no sender of its limit.
   */
  readDelayMs(target: string, nowMs: number): number {
    const bucket = this.#limits.get(target)?.bucket;
    if (bucket === undefined) return 0;
    return bucket.ratePerMs === 0 ? Infinity : bucket.waitMs(1, nowMs);
  }

  /** Number of targets with a limit in force. */
  countLimits(): number {
    return [...this.#limits.values()]
      .filter(({ perSecond }) => perSecond !== undefined).length;
  }

  /** The target's limit for all entries together; undefined if it has none. */
  readLimitPerMs(target: string): number | undefined {
    const perSecond = this.#limits.get(target)?.perSecond;
    return perSecond === undefined ? undefined : perSecond / MS_PER_S;
  }

  /** This entry's share of the target's limit; undefined if it has none. */
  readSharePerMs(target: string): number | undefined {
    return this.#limits.get(target)?.bucket?.ratePerMs;
  }

  /** Counts a request that is sent to the target. */
  recordSend(target: string, nowMs: number): void {
    this.#limits.get(target)?.bucket?.charge(1, nowMs);
  }

  #record(
    { target, perSecond, observedAtMs, isOwn }: Observation,
    nowMs: number,
  ): LimitChange | undefined {
    const known = this.#limits.get(target);
    if (known !== undefined && observedAtMs <= known.observedAtMs) return;
    if (known?.perSecond === undefined && perSecond === undefined) return;
    const sharePerSecond = this.#computeShare(target, perSecond);
    const bucket = perSecond === undefined
      ? undefined
      : known?.bucket ?? createBucket(nowMs);
    bucket?.setRate(sharePerSecond / MS_PER_S, nowMs);
    this.#limits.set(target, { perSecond, observedAtMs, isOwn, bucket });
    if (known?.perSecond === perSecond) return undefined;
    const entryCount = this.#entryHashes.length;
    return { target, perSecond, sharePerSecond, entryCount };
  }

  /** This entry's share in requests a second, 0 if it is not a sender. */
  #computeShare(target: string, perSecond: number | undefined): number {
    if (perSecond === undefined) return 0;
    const { hash, entry } = this.#options;
    const targetHash = hash(target);
    const ownWeight = mixHashes(hash(entry), targetHash);
    const rank =
      this.#entryHashes.filter((entryHash) =>
        mixHashes(entryHash, targetHash) < ownWeight
      ).length;
    const senderCount = Math.min(
      this.#entryHashes.length,
      BASE_SENDERS + Math.floor(perSecond),
    );
    return rank < senderCount
      ? Math.max(MIN_PER_S, perSecond) / senderCount
      : 0;
  }
}

function createBucket(nowMs: number): TokenBucket {
  return TokenBucket.create({ burstMs: BURST_MS, minDepth: 1 }, nowMs);
}
