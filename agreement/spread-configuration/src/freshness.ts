/**
 * How fresh a view is, on its process's own clock. Evidence is a revision and
 * a time at which it was the platform's latest; the time is always that before
 * the question was asked, less the age that the answer states. Evidence of a
 * revision that isn't known here yet waits until it is.
 */

import { FRESH_MS, READ_FAILED_MS } from "./timing.ts";

export interface Evidence {
  readonly revision: number;
  readonly asOfMs: number;
}

export class Freshness {
  readonly #claims = new Map<string, number>();
  #freshAtMs = -Infinity;
  #readFailedAtMs = -Infinity;
  #waiting: Evidence | undefined;

  static create(): Freshness {
    return new Freshness();
  }

  get freshAtMs(): number {
    return this.#freshAtMs;
  }

  note(evidence: Evidence, knownRevision: number): void {
    if (evidence.revision > knownRevision) {
      const isNewer = evidence.asOfMs > (this.#waiting?.asOfMs ?? -Infinity);
      if (isNewer) this.#waiting = evidence;
      return;
    }
    this.#freshAtMs = Math.max(this.#freshAtMs, evidence.asOfMs);
  }

  /** To be called when the known revision rose. */
  noteRevision(knownRevision: number): void {
    const waiting = this.#waiting;
    if (waiting === undefined || waiting.revision > knownRevision) return;
    this.#waiting = undefined;
    this.note(waiting, knownRevision);
  }

  noteReadFailed(nowMs: number): void {
    this.#readFailedAtMs = nowMs;
  }

  noteClaim(watcher: string, asOfMs: number): void {
    const known = this.#claims.get(watcher) ?? -Infinity;
    this.#claims.set(watcher, Math.max(known, asOfMs));
  }

  /** Claims of an outage that are recent, and later than the last success. */
  claimsAt(nowMs: number): readonly Claim[] {
    return [...this.#claims]
      .map(([watcher, asOfMs]) => ({ watcher, asOfMs }))
      .filter(({ asOfMs }) =>
        asOfMs > this.#freshAtMs && nowMs < asOfMs + FRESH_MS
      );
  }

  isFresh(nowMs: number): boolean {
    return nowMs < this.#freshAtMs + FRESH_MS;
  }

  /**
   * Whether nothing can have been accepted: most watchers say that the
   * platform is out, and the process itself could not reach it.
   */
  isOutForAll(watchers: readonly string[], nowMs: number): boolean {
    if (nowMs >= this.#readFailedAtMs + READ_FAILED_MS) return false;
    if (this.#readFailedAtMs < this.#freshAtMs) return false;
    return this.isClaimedOut(watchers, nowMs);
  }

  isClaimedOut(watchers: readonly string[], nowMs: number): boolean {
    const claiming = this.claimsAt(nowMs)
      .filter(({ watcher }) => watchers.includes(watcher));
    return claiming.length > watchers.length / 2;
  }
}

export interface Claim {
  readonly watcher: string;
  readonly asOfMs: number;
}
