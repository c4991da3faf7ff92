/**
 * The limits of one organisation at one entry: buckets for requests and
 * tokens, a count of requests in flight, the time at which a refused caller
 * finds room, and what the organisation's requests would need.
 */

import { computeUsableShare, NO_SHARE } from "@dandelionbank/grant-allowances";
import type { Contract, LimitShare, ShareHolding } from "@dandelionbank/types";
import { DemandMeter } from "./demand_meter.ts";
import { MeanDuration } from "./mean_duration.ts";
import { RetryTimes } from "./retry_times.ts";
import type { RoomExpected } from "./retry_times.ts";
import { TokenBucket } from "./token_bucket.ts";
import type { LimitCode } from "./types.ts";

const RATE_BURST_MS = 1_000;
const TOKEN_BURST_MS = 10_000;

export interface LimitVerdict {
  readonly code: LimitCode;
  readonly retryAfterMs: number;
}

export class OrganisationLimits {
  readonly #requests: TokenBucket;
  readonly #tokens: TokenBucket;
  #share: LimitShare = NO_SHARE;
  readonly #durations = MeanDuration.create();
  readonly #retryTimes = RetryTimes.create();
  readonly #demand: DemandMeter;
  /** Set when the contract was removed while requests were in flight. */
  removed = false;
  inFlight = 0;
  contract: Contract;
  holding: ShareHolding;

  private constructor(
    contract: Contract,
    { holding, nowMs }: {
      readonly holding: ShareHolding;
      readonly nowMs: number;
    },
  ) {
    this.contract = contract;
    this.holding = holding;
    this.#demand = DemandMeter.create(nowMs);
    this.#requests = TokenBucket.create({
      burstMs: RATE_BURST_MS,
      minDepth: 1,
    }, nowMs);
    this.#tokens = TokenBucket.create({
      burstMs: TOKEN_BURST_MS,
      minDepth: 1,
    }, nowMs);
  }

  static create(
    contract: Contract,
    options: { readonly holding: ShareHolding; readonly nowMs: number },
  ): OrganisationLimits {
    return new OrganisationLimits(contract, options);
  }

  get share(): LimitShare {
    return this.#share;
  }

  /** Brings the share up to date; to be called before each decision. */
  refresh(nowMs: number): void {
    const share = computeUsableShare(this.holding, nowMs);
    if (isSame(share, this.#share)) return;
    this.#share = share;
    this.#requests.setRate(share.requestsPerSecond / 1_000, nowMs);
    this.#tokens.setRate(share.tokensPerMinute / 60_000, nowMs);
  }

  /** What the requests need here, refused ones included. */
  measureDemand(nowMs: number): LimitShare | undefined {
    const { inFlight } = this;
    const meanDurationMs = this.#durations.meanMs;
    return this.#demand.measure({ inFlight, meanDurationMs }, nowMs);
  }

  /** Why the request has to wait, or `undefined` if it need not. */
  check(estimatedTokens: number, nowMs: number): LimitVerdict | undefined {
    this.#demand.note(estimatedTokens, this.inFlight + 1);
    const refused = this.#findRefusal(estimatedTokens, nowMs);
    if (refused === undefined) return undefined;
    const { code, room } = refused;
    return { code, retryAfterMs: this.#retryTimes.next(room, nowMs) };
  }

  begin(estimatedTokens: number, nowMs: number): void {
    this.inFlight += 1;
    this.#requests.charge(1, nowMs);
    this.#tokens.charge(estimatedTokens, nowMs);
  }

  end(
    { excessTokens, durationMs }: {
      readonly excessTokens: number;
      readonly durationMs: number;
    },
    nowMs: number,
  ): void {
    this.inFlight -= 1;
    this.#tokens.charge(excessTokens, nowMs);
    this.#durations.add(durationMs);
  }

  #findRefusal(estimatedTokens: number, nowMs: number): Refusal | undefined {
    if (this.inFlight >= this.#share.concurrentRequests) {
      const waitMs = this.#durations.betweenEndsMs(this.inFlight);
      const room = { waitMs, stepMs: waitMs };
      return { code: "DANDELIONBANK_CONCURRENCY_LIMITED", room };
    }
    const rateWaitMs = this.#requests.waitMs(1, nowMs);
    if (rateWaitMs > 0) {
      const stepMs = 1 / this.#requests.ratePerMs;
      const room = { waitMs: rateWaitMs, stepMs };
      return { code: "DANDELIONBANK_RATE_LIMITED", room };
    }
    const tokenWaitMs = this.#tokens.waitMs(estimatedTokens, nowMs);
    if (estimatedTokens <= 0 || tokenWaitMs <= 0) return undefined;
    const stepMs = estimatedTokens / this.#tokens.ratePerMs;
    const room = { waitMs: tokenWaitMs, stepMs };
    return { code: "DANDELIONBANK_TOKENS_LIMITED", room };
  }
}

interface Refusal {
  readonly code: LimitCode;
  readonly room: RoomExpected;
}

function isSame(left: LimitShare, right: LimitShare): boolean {
  return left.requestsPerSecond === right.requestsPerSecond &&
    left.concurrentRequests === right.concurrentRequests &&
    left.tokensPerMinute === right.tokensPerMinute;
}
