/**
 * Reports the attempts of one request to the crash monitor, and checks whether
 * the request is quarantined because it has crashed targets.
 */

import { digestRequest } from "@dandelionbank/digest-bodies";
import type { AttemptOutcome } from "@dandelionbank/decide-retries";
import type { CrashMonitor } from "@dandelionbank/watch-suspects";
import type { RoutedRequest } from "./routed_request.ts";

export class CrashGuard {
  readonly #monitor: CrashMonitor;
  readonly #request: RoutedRequest;
  #digest: string | undefined;

  private constructor(monitor: CrashMonitor, request: RoutedRequest) {
    this.#monitor = monitor;
    this.#request = request;
  }

  static create(monitor: CrashMonitor, request: RoutedRequest): CrashGuard {
    return new CrashGuard(monitor, request);
  }

  /** A digest that is the same whenever the caller repeats the request. */
  get fingerprint(): string {
    const { method, path, body, organisation = "" } = this.#request;
    return this.#digest ??= digestRequest({ organisation, method, path, body });
  }

  /** Remaining quarantine of the request; undefined if it may be sent. */
  get quarantineMs(): number | undefined {
    if (!this.#monitor.hasSuspects) return undefined;
    const verdict = this.#monitor.evaluate(this.fingerprint);
    return verdict.kind === "quarantined" ? verdict.retryAfterMs : undefined;
  }

  /** Reports that a target answered, so the request did not crash it. */
  recordAnswer(): void {
    if (this.#monitor.hasSuspects) this.#monitor.recordAnswer(this.fingerprint);
  }

  /** Reports a failed attempt that may mean its target crashed. */
  recordFailure(target: string, outcome: AttemptOutcome): void {
    if (outcome === "notSent") {
      this.#monitor.recordTargetDown(target, "connection failed");
    }
    if (outcome === "broken" || outcome === "silent") {
      this.#monitor.recordLostAnswer(target, this.fingerprint);
    }
  }
}
