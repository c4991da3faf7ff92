/** Runs the limiter's core: one question a request, answered at once. */

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
import { contractEvents } from "./contract_events.ts";
import type { RequestEnd } from "./request_metrics.ts";
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
      perform: (effect) => this.#take(effect),
      readNowMs: options.readNowMs,
    });
  }

  static create(options: RequestLimiterOptions): RequestLimiter {
    return new RequestLimiter(options);
  }

  applyView(before: View | undefined, view: View): void {
    for (const event of contractEvents(before, view)) this.#runner.post(event);
    if (before?.entries === view.entries) return;
    this.#runner.post({
      type: "entriesChanged",
      entry: this.#options.entry,
      entries: [...view.entries.keys()].sort(),
    });
  }

  /**
   * Holds the organisation to its contract, once a request. A repeat of a key
   * that is known never comes this far, so that no refusal speaks for it.
   */
  admit(open: OpenRequest): LimitRefusal | undefined {
    if (open.isLimited) return undefined;
    this.#refusal = undefined;
    this.#runner.post({
      type: "requestArrived",
      requestId: open.requestId,
      organisation: open.organisation,
      pool: open.pool,
      estimatedTokens: open.estimatedTokens,
    });
    const refusal = this.#readRefusal();
    open.isLimited = refusal === undefined;
    return refusal;
  }

  /** What did not run is given back; anything else keeps its estimate. */
  end(open: OpenRequest, outcome: RequestEnd): void {
    if (!open.isLimited) return;
    const { requestId, estimatedTokens } = open;
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

  #take(effect: LimitEffect): void {
    if (effect.type === "refuse") {
      const { retryAfterMs } = effect;
      this.#refusal = { code: LIMIT_CODES[effect.code], retryAfterMs };
    }
    if (effect.type === "invariantViolated") this.#options.onViolation(effect);
  }
}
