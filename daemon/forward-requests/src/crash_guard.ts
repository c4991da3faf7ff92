/**
 * One request's part in finding requests that crash their targets: its
 * fingerprint, what it saw, and whether it may still be sent.
 */

import { digestRequest } from "@dandelionbank/digest-bodies";
import type { AttemptOutcome } from "@dandelionbank/steer-request";
import type { CrashMonitor } from "@dandelionbank/watch-suspects";
import type { RoutedRequest } from "./routed_request.ts";

export class CrashGuard {
  readonly #crashes: CrashMonitor;
  readonly #request: RoutedRequest;
  #digest: string | undefined;

  private constructor(crashes: CrashMonitor, request: RoutedRequest) {
    this.#crashes = crashes;
    this.#request = request;
  }

  static create(crashes: CrashMonitor, request: RoutedRequest): CrashGuard {
    return new CrashGuard(crashes, request);
  }

  /** Stands for the request when its caller sends it again. */
  get fingerprint(): string {
    const { method, path, body, organisation = "" } = this.#request;
    return this.#digest ??= digestRequest({ organisation, method, path, body });
  }

  /** For how long the request is refused; undefined if it may be sent. */
  get quarantineMs(): number | undefined {
    if (!this.#crashes.hasSuspects) return undefined;
    const verdict = this.#crashes.judge(this.fingerprint);
    return verdict.kind === "quarantined" ? verdict.retryAfterMs : undefined;
  }

  /** A target has answered, and so outlived the request. */
  recordAnswer(): void {
    if (this.#crashes.hasSuspects) this.#crashes.recordAnswer(this.fingerprint);
  }

  /** What the end of an attempt says of its target. */
  recordFailure(target: string, outcome: AttemptOutcome): void {
    if (outcome === "notSent") this.#crashes.recordTargetDown(target);
    if (outcome === "broken" || outcome === "silent") {
      this.#crashes.recordLostAnswer(target, this.fingerprint);
    }
  }
}
