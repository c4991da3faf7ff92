/**
 * The limits of one organisation at one entry: buckets for requests and
 * tokens, a count of requests in flight, and the time at which a refused
 * caller finds room. Refused callers are told times one after another, since
 * all of them coming back at one time would be refused again.
 */

import { NO_SHARE, shareAt } from "@dandelionbank/grant-allowances";
import type { Contract, LimitShare, ShareHolding } from "@dandelionbank/types";
import { TokenBucket } from "./token_bucket.ts";
import type { LimitCode } from "./types.ts";

const RATE_BURST_MS = 1_000;
const TOKEN_BURST_MS = 10_000;
const MIN_RETRY_MS = 10;
/** Told when this entry holds no share at all, and until loans arrive. */
const NO_SHARE_RETRY_MS = 1_000;
const MAX_RETRY_MS = 60_000;
const TYPICAL_DURATION_MS = 1_000;
const DURATION_WEIGHT = 0.1;

export interface LimitVerdict {
  readonly code: LimitCode;
  readonly retryAfterMs: number;
}

export class OrganisationLimits {
  readonly #requests: TokenBucket;
  readonly #tokens: TokenBucket;
  #share: LimitShare = NO_SHARE;
  #meanDurationMs = TYPICAL_DURATION_MS;
  #toldUntilMs = 0;
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
    const share = shareAt(this.holding, nowMs);
    if (isSame(share, this.#share)) return;
    this.#share = share;
    this.#requests.setRate(share.requestsPerSecond / 1_000, nowMs);
    this.#tokens.setRate(share.tokensPerMinute / 60_000, nowMs);
  }

  /** Why the request has to wait, or `undefined` if it need not. */
  check(estimatedTokens: number, nowMs: number): LimitVerdict | undefined {
    if (this.inFlight >= this.#share.concurrentRequests) {
      return this.#refuse("DANDELIONBANK_CONCURRENCY_LIMITED", {
        waitMs: this.#nextEndMs(),
        stepMs: this.#nextEndMs(),
        nowMs,
      });
    }
    const rateWaitMs = this.#requests.waitMs(1, nowMs);
    if (rateWaitMs > 0) {
      return this.#refuse("DANDELIONBANK_RATE_LIMITED", {
        waitMs: rateWaitMs,
        stepMs: 1 / this.#requests.ratePerMs,
        nowMs,
      });
    }
    const tokenWaitMs = this.#tokens.waitMs(estimatedTokens, nowMs);
    if (estimatedTokens > 0 && tokenWaitMs > 0) {
      return this.#refuse("DANDELIONBANK_TOKENS_LIMITED", {
        waitMs: tokenWaitMs,
        stepMs: estimatedTokens / this.#tokens.ratePerMs,
        nowMs,
      });
    }
    return undefined;
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
    this.#meanDurationMs += DURATION_WEIGHT *
      (durationMs - this.#meanDurationMs);
  }

  #refuse(
    code: LimitCode,
    { waitMs, stepMs, nowMs }: {
      readonly waitMs: number;
      readonly stepMs: number;
      readonly nowMs: number;
    },
  ): LimitVerdict {
    if (!Number.isFinite(waitMs)) {
      return { code, retryAfterMs: NO_SHARE_RETRY_MS };
    }
    const untilMs = Math.max(nowMs + waitMs, this.#toldUntilMs + stepMs);
    this.#toldUntilMs = Math.min(untilMs, nowMs + MAX_RETRY_MS);
    const retryAfterMs = Math.ceil(this.#toldUntilMs - nowMs);
    return { code, retryAfterMs: Math.max(MIN_RETRY_MS, retryAfterMs) };
  }

  #nextEndMs(): number {
    if (this.inFlight === 0) return Infinity;
    return this.#meanDurationMs / this.inFlight;
  }
}

function isSame(left: LimitShare, right: LimitShare): boolean {
  return left.requestsPerSecond === right.requestsPerSecond &&
    left.concurrentRequests === right.concurrentRequests &&
    left.tokensPerMinute === right.tokensPerMinute;
}
