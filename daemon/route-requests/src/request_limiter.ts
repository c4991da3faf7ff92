/**
 * Runs the limiter core, which holds each organisation to the limits of its
 * contract, and decides on each request synchronously.
 */

import {
  createLimitState,
  type LimitEffect,
  type LimitEvent,
  type LimitRefusalCode,
  limitRequests,
  type LimitState,
} from "@dandelionbank/limit-requests";
import { CoreRunner } from "@dandelionbank/run-core";
import type { UnansweredCode } from "@dandelionbank/track-requests";
import type { View } from "@dandelionbank/types";
import { createContractEvents } from "./contract_events.ts";
import type { RequestResult } from "./request_metrics.ts";
import type { OpenRequest } from "./request_table.ts";

export interface LimitRefusal {
  readonly code: UnansweredCode;
  readonly retryAfterMs: number;
}

export interface RequestLimiterOptions {
  readonly entry: string;
  readonly readNowMs: () => number;
  readonly onViolation: (violation: {
    readonly invariant: string;
    readonly detail: string;
  }) => void;
}

const LIMIT_CODES: Readonly<Record<LimitRefusalCode, UnansweredCode>> = {
  DANDELIONBANK_ORGANISATION_UNKNOWN: "organisationUnknown",
  DANDELIONBANK_RATE_LIMITED: "rateLimited",
  DANDELIONBANK_CONCURRENCY_LIMITED: "concurrencyLimited",
  DANDELIONBANK_TOKENS_LIMITED: "tokensLimited",
  DANDELIONBANK_OVERLOADED: "overloaded",
};

export class RequestLimiter {
  readonly #options: RequestLimiterOptions;
  readonly #runner: CoreRunner<LimitState, LimitEvent, LimitEffect>;
  #refusal: LimitRefusal | undefined;

  private constructor(options: RequestLimiterOptions) {
    this.#options = options;
    this.#runner = CoreRunner.create({
      initial: createLimitState(options.entry),
      step: limitRequests,
      perform: (effect) => this.#perform(effect),
      readNowMs: options.readNowMs,
    });
  }

  static create(options: RequestLimiterOptions): RequestLimiter {
    return new RequestLimiter(options);
  }

  applyView(before: View | undefined, view: View): void {
    for (const event of createContractEvents(before, view)) {
      this.#runner.post(event);
    }
    if (before?.entries === view.entries) return;
    this.#runner.post({
      type: "entriesChanged",
      entry: this.#options.entry,
      entries: [...view.entries.keys()].sort(),
    });
  }

  /**
   * Checks a request against its organisation's contract, once per request. A
   * repeat of a known key never reaches this check, so a refusal is never
   * reported as the outcome of the earlier request.
   */
  admit(openRequest: OpenRequest): LimitRefusal | undefined {
    if (openRequest.isAdmitted) return undefined;
    this.#refusal = undefined;
    this.#runner.post({
      type: "requestArrived",
      requestId: openRequest.requestId,
      organisation: openRequest.organisation,
      pool: openRequest.pool,
      estimatedTokens: openRequest.estimatedTokens,
    });
    const refusal = this.#readRefusal();
    openRequest.isAdmitted = refusal === undefined;
    return refusal;
  }

  /** Refunds the tokens of a request that did not run; others are charged their estimate. */
  recordEnd(openRequest: OpenRequest, outcome: RequestResult): void {
    if (!openRequest.isAdmitted) return;
    const { requestId, estimatedTokens } = openRequest;
    const actualTokens = outcome === "notRun" ? 0 : estimatedTokens;
    this.#runner.post({ type: "requestEnded", requestId, actualTokens });
  }

  tick(): void {
    this.#runner.post({ type: "tick" });
  }

  stop(): void {
    this.#runner.stop();
  }

  #readRefusal(): LimitRefusal | undefined {
    return this.#refusal;
  }

  #perform(effect: LimitEffect): void {
    if (effect.type === "refuse") {
      const { retryAfterMs } = effect;
      this.#refusal = { code: LIMIT_CODES[effect.code], retryAfterMs };
    }
    if (effect.type === "invariantViolated") this.#options.onViolation(effect);
  }
}
