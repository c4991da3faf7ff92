/**
 * Decides which requests a stopping entry may still pass on: those that end before
 * it does. Asked when a request arrives and again whenever it is sent, since it may
 * have waited in between.
 */

import { estimateLongestRunMs, type RunConditions } from "./estimate_run.ts";
import { computeTimeoutMs, type RoutedRequest } from "./routed_request.ts";

/** `retry-after` if no other entry takes the request at once. */
const UNAVAILABLE_RETRY_MS = 200;
/** `retry-after` of a request that another entry takes at once. */
const OTHER_ENTRY_RETRY_MS = 0;

/** What the time that a request needs depends on. */
export type TimedRequest = Pick<
  RoutedRequest,
  "head" | "route" | "arrivedAtMs"
>;

export interface StopCheckOptions {
  readonly readConditions: (service: string) => RunConditions;
  /** Number of live entries, this one included. */
  readonly countEntries: () => number;
}

export class StopCheck {
  readonly #options: StopCheckOptions;
  /** When requests have to end; undefined unless the entry stops. */
  #endAtMs: number | undefined;
  #isAccepting = true;

  private constructor(options: StopCheckOptions) {
    this.#options = options;
  }

  static create(options: StopCheckOptions): StopCheck {
    return new StopCheck(options);
  }

  /** From now on, requests have to end by then. */
  begin(endAtMs: number): void {
    this.#endAtMs = endAtMs;
  }

  /** From now on, no further request is accepted. */
  endAccepting(): void {
    this.#isAccepting = false;
  }

  /** `retry-after` of a request that this entry cannot take. */
  get retryAfterMs(): number {
    const isTakenByOther = this.#endAtMs !== undefined &&
      this.#options.countEntries() > 1;
    return isTakenByOther ? OTHER_ENTRY_RETRY_MS : UNAVAILABLE_RETRY_MS;
  }

  /** Returns why a request that has arrived is not accepted, if it is not. */
  findRefusal(request: TimedRequest): string | undefined {
    return this.#isAccepting
      ? this.findLateness(request)
      : "stopping: no further request is accepted";
  }

  /** Returns why a request can no longer be sent to a target, if it cannot. */
  findLateness(request: TimedRequest): string | undefined {
    const lateMs = performance.now() - this.computeLatestStartMs(request);
    if (this.#endAtMs === undefined || lateMs <= 0) return undefined;
    const leftMs = Math.round(this.#endAtMs - performance.now());
    const runMs = Math.round(this.#estimateRunMs(request));
    return `stopping: may run for ${runMs} ms, ${leftMs} ms are left`;
  }

  /** Returns until when a request can be sent; infinite unless the entry stops. */
  computeLatestStartMs(request: TimedRequest): number {
    if (this.#endAtMs === undefined) return Number.POSITIVE_INFINITY;
    const timeoutAtMs = request.arrivedAtMs + computeTimeoutMs(request);
    return timeoutAtMs <= this.#endAtMs
      ? Number.POSITIVE_INFINITY
      : this.#endAtMs - this.#estimateRunMs(request);
  }

  #estimateRunMs(request: TimedRequest): number {
    const services = request.route.shares.map(({ service }) =>
      this.#options.readConditions(service)
    );
    const nowMs = performance.now();
    return estimateLongestRunMs(request, { services, nowMs });
  }
}
