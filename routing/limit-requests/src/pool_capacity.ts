/**
 * Fair shares of a pool's capacity at one entry. An organisation is inside its
 * share while its requests in flight are fewer than its weight's part of the
 * capacity among the organisations that use the pool. Those inside come first:
 * the last part of the capacity is open to them only, and within either class
 * a higher priority reaches further.
 */

import type { Contract } from "@dandelionbank/types";
import { MeanDuration } from "./mean_duration.ts";
import { RetryTimes } from "./retry_times.ts";

const HIGHEST_PRIORITY = 9;
const INSIDE_BASE = 0.9;
const INSIDE_SPAN = 0.1;
const BEYOND_BASE = 0.7;
const BEYOND_SPAN = 0.1;

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

  /** When a request that found no room may come back. */
  retryAfterMs(nowMs: number): number {
    const waitMs = this.#durations.betweenEndsMs(this.#inFlight);
    return this.#retryTimes.next({ waitMs, stepMs: waitMs }, nowMs);
  }

  /** Whether the pool has room for one more request of the contract. */
  hasRoom(contract: Contract): boolean {
    if (this.#limit === undefined) return true;
    const part = this.#isInside(contract)
      ? reach(INSIDE_BASE, { span: INSIDE_SPAN, contract })
      : reach(BEYOND_BASE, { span: BEYOND_SPAN, contract });
    return this.#inFlight < Math.max(1, Math.floor(this.#limit * part));
  }

  begin(contract: Contract): void {
    const use = this.#uses.get(contract.organisation) ??
      this.#addUse(contract);
    use.inFlight += 1;
    this.#inFlight += 1;
  }

  end(organisation: string, durationMs: number): void {
    this.#durations.add(durationMs);
    const use = this.#uses.get(organisation);
    if (use === undefined) return;
    use.inFlight -= 1;
    this.#inFlight -= 1;
    if (use.inFlight > 0) return;
    this.#uses.delete(organisation);
    this.#weightSum -= use.weight;
  }

  #isInside(contract: Contract): boolean {
    const use = this.#uses.get(contract.organisation);
    const weightSum = this.#weightSum +
      (use === undefined ? contract.shareWeight : 0);
    if (weightSum <= 0 || this.#limit === undefined) return true;
    const fair = this.#limit * contract.shareWeight / weightSum;
    return (use?.inFlight ?? 0) < fair;
  }

  #addUse(contract: Contract): PoolUse {
    const use = { weight: contract.shareWeight, inFlight: 0 };
    this.#uses.set(contract.organisation, use);
    this.#weightSum += use.weight;
    return use;
  }
}

function reach(
  base: number,
  { span, contract }: { readonly span: number; readonly contract: Contract },
): number {
  return base + span * contract.priority / HIGHEST_PRIORITY;
}
