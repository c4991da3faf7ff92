/**
 * How fresh a view is, on its process's own clock. Evidence is a revision and
 * a time at which it was the platform's latest; the time is always that before
 * the question was asked, less the age that the answer states. Evidence of a
 * revision that isn't known here yet waits until it is.
 */

import {
  FAILED_READ_VALIDITY_MS,
  FRESHNESS_MS,
  UNSEEN_CHANGE_WINDOW_MS,
} from "./timing.ts";

export interface Evidence {
  readonly revision: number;
  readonly asOfMs: number;
}

export class Freshness {
  readonly #claims = new Map<string, OutageClaim>();
  #freshAtMs = -Infinity;
  #readFailedAtMs = -Infinity;
  #waiting: Evidence | undefined;

  static create(): Freshness {
    return new Freshness();
  }

  get freshAtMs(): number {
    return this.#freshAtMs;
  }

  recordEvidence(evidence: Evidence, knownRevision: number): void {
    if (evidence.revision > knownRevision) {
      const isNewer = evidence.asOfMs > (this.#waiting?.asOfMs ?? -Infinity);
      if (isNewer) this.#waiting = evidence;
      return;
    }
    this.#freshAtMs = Math.max(this.#freshAtMs, evidence.asOfMs);
  }

  /** To be called when the known revision rose. */
  recordRevision(knownRevision: number): void {
    const waiting = this.#waiting;
    if (waiting === undefined || waiting.revision > knownRevision) return;
    this.#waiting = undefined;
    this.recordEvidence(waiting, knownRevision);
  }

  recordFailedRead(askedAtMs: number): void {
    this.#readFailedAtMs = Math.max(this.#readFailedAtMs, askedAtMs);
  }

  /**
   * Claims an outage oneself. It goes on from the last failed read, or from
   * the beginning that most others claim, only if these are recent: in a
   * longer gap the platform may have been back.
   */
  claimOutage(
    watcher: string,
    { askedAtMs, watchers }: {
      readonly askedAtMs: number;
      readonly watchers: readonly string[];
    },
  ): void {
    const own = this.#claims.get(watcher);
    const isGoingOn = own !== undefined && own.asOfMs > this.#freshAtMs &&
      askedAtMs < own.asOfMs + UNSEEN_CHANGE_WINDOW_MS;
    const sinceMs = isGoingOn ? own.sinceMs : this.#majoritySinceMs(
      watchers,
      askedAtMs + FRESHNESS_MS - UNSEEN_CHANGE_WINDOW_MS,
    ) ??
      askedAtMs;
    this.recordClaim({ watcher, asOfMs: askedAtMs, sinceMs });
  }

  recordClaim(claim: OutageClaim): void {
    const known = this.#claims.get(claim.watcher);
    if (known !== undefined && known.asOfMs >= claim.asOfMs) return;
    this.#claims.set(claim.watcher, claim);
  }

  /** Claims of an outage that are recent, and later than the last success. */
  claimsAt(nowMs: number): readonly OutageClaim[] {
    return [...this.#claims.values()].filter(({ asOfMs }) =>
      asOfMs > this.#freshAtMs && nowMs < asOfMs + FRESHNESS_MS
    );
  }

  isFresh(nowMs: number): boolean {
    return nowMs < this.#freshAtMs + FRESHNESS_MS;
  }

  /**
   * Whether nothing can have been accepted that isn't known here: most
   * watchers say that the platform is out, the process itself could not reach
   * it, and the view was the latest shortly before the outage began.
   */
  isOutForAll(watchers: readonly string[], nowMs: number): boolean {
    if (nowMs >= this.#readFailedAtMs + FAILED_READ_VALIDITY_MS) return false;
    if (this.#readFailedAtMs < this.#freshAtMs) return false;
    const sinceMs = this.#majoritySinceMs(watchers, nowMs);
    return sinceMs !== undefined &&
      this.#freshAtMs >= sinceMs - UNSEEN_CHANGE_WINDOW_MS;
  }

  isOutByMajority(watchers: readonly string[], nowMs: number): boolean {
    return this.#majoritySinceMs(watchers, nowMs) !== undefined;
  }

  /** Since when most watchers say that the platform is out, if they do. */
  #majoritySinceMs(
    watchers: readonly string[],
    nowMs: number,
  ): number | undefined {
    return this.claimsAt(nowMs)
      .filter(({ watcher }) => watchers.includes(watcher))
      .map(({ sinceMs }) => sinceMs)
      .sort((left, right) => left - right)
      .at(Math.floor(watchers.length / 2));
  }
}

export interface OutageClaim {
  readonly watcher: string;
  /** When its last failed read began. */
  readonly asOfMs: number;
  /** When the first failed read since a success began. */
  readonly sinceMs: number;
}
