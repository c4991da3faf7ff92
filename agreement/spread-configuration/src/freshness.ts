/**
 * Freshness of a process's view, on the process's own clock. Evidence consists of
 * a revision and a time at which it was the platform's latest. The time is that
 * just before the request was sent, minus the age stated in the answer. Evidence
 * of a revision that the process does not have yet is kept until it does.
 *
 * A watcher that can't read the platform claims an outage. If most watchers claim
 * one and a read by the process itself failed too, no objects can have changed
 * since the outage began, and a view from before it may still be used.
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
  #pendingEvidence: Evidence | undefined;

  static create(): Freshness {
    return new Freshness();
  }

  get freshAtMs(): number {
    return this.#freshAtMs;
  }

  recordEvidence(evidence: Evidence, knownRevision: number): void {
    if (evidence.revision > knownRevision) {
      const isNewer =
        evidence.asOfMs > (this.#pendingEvidence?.asOfMs ?? -Infinity);
      if (isNewer) this.#pendingEvidence = evidence;
      return;
    }
    this.#freshAtMs = Math.max(this.#freshAtMs, evidence.asOfMs);
  }

  /** Must be called whenever the known revision has increased. */
  recordRevision(knownRevision: number): void {
    const pending = this.#pendingEvidence;
    if (pending === undefined || pending.revision > knownRevision) return;
    this.#pendingEvidence = undefined;
    this.recordEvidence(pending, knownRevision);
  }

  recordFailedRead(askedAtMs: number): void {
    this.#readFailedAtMs = Math.max(this.#readFailedAtMs, askedAtMs);
  }

  /**
   * Records this process's own claim of an outage. The claim continues its
   * previous one, or starts where most others say that the outage began, only if
   * these are recent: in a longer gap the platform may have been reachable.
   */
  claimOutage(
    watcher: string,
    { askedAtMs, watchers }: {
      readonly askedAtMs: number;
      readonly watchers: readonly string[];
    },
  ): void {
    const own = this.#claims.get(watcher);
    const isContinued = own !== undefined && own.asOfMs > this.#freshAtMs &&
      askedAtMs < own.asOfMs + UNSEEN_CHANGE_WINDOW_MS;
    const sinceMs = isContinued ? own.sinceMs : this.#findOutageStartMs(
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

  /** Recent claims of an outage that are newer than the last evidence. */
  listCurrentClaims(nowMs: number): readonly OutageClaim[] {
    return [...this.#claims.values()].filter(({ asOfMs }) =>
      asOfMs > this.#freshAtMs && nowMs < asOfMs + FRESHNESS_MS
    );
  }

  isFresh(nowMs: number): boolean {
    return nowMs < this.#freshAtMs + FRESHNESS_MS;
  }

  /**
   * Whether the platform is unreachable for all processes, so that it can't have
   * accepted changes that this process does not have: most watchers claim an
   * outage, a read by this process failed, and its view was the latest shortly
   * before the outage began.
   */
  isUnreachableForAll(watchers: readonly string[], nowMs: number): boolean {
    if (nowMs >= this.#readFailedAtMs + FAILED_READ_VALIDITY_MS) return false;
    if (this.#readFailedAtMs < this.#freshAtMs) return false;
    const sinceMs = this.#findOutageStartMs(watchers, nowMs);
    return sinceMs !== undefined &&
      this.#freshAtMs >= sinceMs - UNSEEN_CHANGE_WINDOW_MS;
  }

  isOutageClaimedByMajority(
    watchers: readonly string[],
    nowMs: number,
  ): boolean {
    return this.#findOutageStartMs(watchers, nowMs) !== undefined;
  }

  /** Time since which most watchers claim an outage; `undefined` if they don't. */
  #findOutageStartMs(
    watchers: readonly string[],
    nowMs: number,
  ): number | undefined {
    return this.listCurrentClaims(nowMs)
      .filter(({ watcher }) => watchers.includes(watcher))
      .map(({ sinceMs }) => sinceMs)
      .sort((left, right) => left - right)
      .at(Math.floor(watchers.length / 2));
  }
}

export interface OutageClaim {
  readonly watcher: string;
  /** Start of the watcher's last failed read. */
  readonly asOfMs: number;
  /** Start of its first failed read since a successful one. */
  readonly sinceMs: number;
}
