/**
 * The limits of one organisation at one entry: token buckets for requests and
 * model tokens, the number of requests in flight, the retry times of refused
 * callers, and the organisation's measured demand.
 */

import { computeUsableShare, NO_SHARE } from "@dandelionbank/grant-allowances";
import type { Contract, LimitShare, ShareHolding } from "@dandelionbank/types";
import { DemandMeter } from "./demand_meter.ts";
import { MeanDuration } from "./mean_duration.ts";
import {
  type CapacityForecast,
  RetryTimes,
  TokenBucket,
} from "@dandelionbank/pace-requests";
import type { LimitRefusalCode } from "./types.ts";

/** The requests bucket holds at most this time's worth of the rate. */
const RATE_BURST_MS = 1_000;
/** The tokens bucket holds at most this time's worth of the rate. */
const TOKEN_BURST_MS = 10_000;

/** A refusal of a request by one of the limits. */
export interface LimitRefusal {
  readonly code: LimitRefusalCode;
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
  isRemoved = false;
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

  /** Recomputes the share at `nowMs`; must be called before each decision. */
  refresh(nowMs: number): void {
    const share = computeUsableShare(this.holding, nowMs);
    if (isSameShare(share, this.#share)) return;
    this.#share = share;
    this.#requests.setRate(share.requestsPerSecond / 1_000, nowMs);
    this.#tokens.setRate(share.tokensPerMinute / 60_000, nowMs);
  }

  /** Returns the demand at this entry, including refused requests. */
  measureDemand(nowMs: number): LimitShare | undefined {
    const { inFlight } = this;
    const meanDurationMs = this.#durations.meanMs;
    return this.#demand.measure({ inFlight, meanDurationMs }, nowMs);
  }

  /**
   * Records an arriving request in the demand and checks it against the limits.
   * Returns its refusal, or `undefined` if it is within them.
   */
  checkArrival(
    estimatedTokens: number,
    nowMs: number,
  ): LimitRefusal | undefined {
    this.#demand.recordArrival(estimatedTokens, this.inFlight + 1);
    const exceeded = this.#findExceededLimit(estimatedTokens, nowMs);
    if (exceeded === undefined) return undefined;
    const { code, forecast } = exceeded;
    return { code, retryAfterMs: this.#retryTimes.next(forecast, nowMs) };
  }

  beginRequest(estimatedTokens: number, nowMs: number): void {
    this.inFlight += 1;
    this.#requests.charge(1, nowMs);
    this.#tokens.charge(estimatedTokens, nowMs);
  }

  endRequest(
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

  #findExceededLimit(
    estimatedTokens: number,
    nowMs: number,
  ): ExceededLimit | undefined {
    if (this.inFlight >= this.#share.concurrentRequests) {
      const waitMs = this.#durations.endIntervalMs(this.inFlight);
      const forecast = { waitMs, stepMs: waitMs };
      return { code: "DANDELIONBANK_CONCURRENCY_LIMITED", forecast };
    }
    const rateWaitMs = this.#requests.waitMs(1, nowMs);
    if (rateWaitMs > 0) {
      const stepMs = 1 / this.#requests.ratePerMs;
      const forecast = { waitMs: rateWaitMs, stepMs };
      return { code: "DANDELIONBANK_RATE_LIMITED", forecast };
    }
    const tokenWaitMs = this.#tokens.waitMs(estimatedTokens, nowMs);
    if (estimatedTokens <= 0 || tokenWaitMs <= 0) return undefined;
    const stepMs = estimatedTokens / this.#tokens.ratePerMs;
    const forecast = { waitMs: tokenWaitMs, stepMs };
    return { code: "DANDELIONBANK_TOKENS_LIMITED", forecast };
  }
}

interface ExceededLimit {
  readonly code: LimitRefusalCode;
  readonly forecast: CapacityForecast;
}

function isSameShare(left: LimitShare, right: LimitShare): boolean {
  return left.requestsPerSecond === right.requestsPerSecond &&
    left.concurrentRequests === right.concurrentRequests &&
    left.tokensPerMinute === right.tokensPerMinute;
}
