/**
 * Weighted fair sharing of a pool's capacity at one entry. An organisation is
 * within its fair share while it has fewer requests in flight than its weight
 * gives it among the organisations that currently use the pool.
 *
 * Organisations within their share take precedence: the last part of the capacity
 * is reserved for them. In either case, a higher priority may use a larger part
 * of the capacity.
 */

import type { Contract } from "@dandelionbank/types";
import { MeanDuration } from "./mean_duration.ts";
import { RetryTimes } from "@dandelionbank/pace-requests";

const HIGHEST_PRIORITY = 9;
/** Usable part of the capacity within the fair share, at the lowest priority. */
const WITHIN_SHARE_BASE = 0.9;
/** Additional part at the highest priority. */
const WITHIN_SHARE_SPAN = 0.1;
/** Usable part of the capacity beyond the fair share, at the lowest priority. */
const BEYOND_SHARE_BASE = 0.7;
/** Additional part at the highest priority. */
const BEYOND_SHARE_SPAN = 0.1;

interface PoolUse {
  readonly weight: number;
  inFlight: number;
}

export class PoolCapacity {
  readonly #uses = new Map<string, PoolUse>();
  readonly #durations = MeanDuration.create();
  readonly #retryTimes = RetryTimes.create();
  #weightSum = 0;
  #inFlight = 0;
  #limit: number | undefined;

  private constructor() {}

  static create(): PoolCapacity {
    return new PoolCapacity();
  }

  setLimit(concurrentRequests: number | undefined): void {
    this.#limit = concurrentRequests;
  }

  /** Returns the retry time of a request refused for lack of capacity. */
  retryAfterMs(nowMs: number): number {
    const waitMs = this.#durations.endIntervalMs(this.#inFlight);
    return this.#retryTimes.next({ waitMs, stepMs: waitMs }, nowMs);
  }

  /** Reports whether one more request of the contract may start in the pool. */
  hasCapacity(contract: Contract): boolean {
    if (this.#limit === undefined) return true;
    const usable = this.#isWithinShare(contract)
      ? usablePart(WITHIN_SHARE_BASE, { span: WITHIN_SHARE_SPAN, contract })
      : usablePart(BEYOND_SHARE_BASE, { span: BEYOND_SHARE_SPAN, contract });
    return this.#inFlight < Math.max(1, Math.floor(this.#limit * usable));
  }

  beginRequest(contract: Contract): void {
    const use = this.#uses.get(contract.organisation) ??
      this.#addUse(contract);
    use.inFlight += 1;
    this.#inFlight += 1;
  }

  endRequest(organisation: string, durationMs: number): void {
    this.#durations.add(durationMs);
    const use = this.#uses.get(organisation);
    if (use === undefined) return;
    use.inFlight -= 1;
    this.#inFlight -= 1;
    if (use.inFlight > 0) return;
    this.#uses.delete(organisation);
    this.#weightSum -= use.weight;
  }

  #isWithinShare(contract: Contract): boolean {
    const use = this.#uses.get(contract.organisation);
    const weightSum = this.#weightSum +
      (use === undefined ? contract.shareWeight : 0);
    if (weightSum <= 0 || this.#limit === undefined) return true;
    const fairShare = this.#limit * contract.shareWeight / weightSum;
    return (use?.inFlight ?? 0) < fairShare;
  }

  #addUse(contract: Contract): PoolUse {
    const use = { weight: contract.shareWeight, inFlight: 0 };
    this.#uses.set(contract.organisation, use);
    this.#weightSum += use.weight;
    return use;
  }
}

function usablePart(
  base: number,
  { span, contract }: { readonly span: number; readonly contract: Contract },
): number {
  return base + span * contract.priority / HIGHEST_PRIORITY;
}
