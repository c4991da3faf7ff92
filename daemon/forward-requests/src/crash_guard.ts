/**
 * Reports the attempts of one request to the crash monitor, and checks whether
 * the request is quarantined because it, or a part of its prompt, has crashed
 * targets.
 */

import { digestRequest } from "@dandelionbank/digest-bodies";
import type { CrashMonitor } from "@dandelionbank/watch-suspects";
import type { AttemptFailure } from "./attempt.ts";
import type { RoutedRequest } from "./routed_request.ts";

/**
 * Pieces of an answer, and the time over which they came, after which its target
 * has not crashed when it began to write.
 */
const SURVIVED_PIECES = 6;
const SURVIVED_MS = 300;
/**
 * Targets that fail together, as those of one rack do, interrupt a request twice
 * that was sent on from one to the other.
 */
const SAME_FAILURE_MS = 250;
const CONNECTION_REFUSED = "ECONNREFUSED";

/** Why and for how long a request is refused. */
export type Quarantine =
  & { readonly retryAfterMs: number }
  & (
    | { readonly kind: "request"; readonly fingerprint: string }
    | { readonly kind: "promptPart"; readonly part: string }
  );

export class CrashGuard {
  readonly #monitor: CrashMonitor;
  readonly #request: RoutedRequest;
  #digest: string | undefined;
  #pieceCount = 0;
  #firstPieceAtMs = 0;
  #lastPieceAtMs = 0;
  #lostAtMs = Number.NEGATIVE_INFINITY;

  private constructor(monitor: CrashMonitor, request: RoutedRequest) {
    this.#monitor = monitor;
    this.#request = request;
  }

  /** Creates the guard of a request that has just arrived. */
  static create(monitor: CrashMonitor, request: RoutedRequest): CrashGuard {
    monitor.recordArrival(request.head.sharedPromptParts);
    return new CrashGuard(monitor, request);
  }

  /** The quarantine of the request; undefined if it may be sent. */
  findQuarantine(): Quarantine | undefined {
    const quarantined = this.#monitor.findQuarantinedPart(this.#promptParts);
    if (quarantined !== undefined) {
      const { part, remainingMs } = quarantined;
      return { kind: "promptPart", part, retryAfterMs: remainingMs };
    }
    if (!this.#monitor.hasSuspects) return undefined;
    const fingerprint = this.#fingerprint;
    const verdict = this.#monitor.evaluate(fingerprint);
    if (verdict.kind !== "quarantined") return undefined;
    return {
      kind: "request",
      fingerprint,
      retryAfterMs: verdict.retryAfterMs,
    };
  }

  /** Records that another attempt begins. */
  recordAttempt(): void {
    this.#pieceCount = 0;
  }

  /** Records that one or more events of the attempt's answer have arrived. */
  recordPiece(): void {
    this.#lastPieceAtMs = performance.now();
    if (this.#pieceCount === 0) this.#firstPieceAtMs = this.#lastPieceAtMs;
    this.#pieceCount += 1;
  }

  recordTargetAlive(run: string): void {
    this.#monitor.recordTargetAlive(run);
  }

  /** Reports that a target answered, so the request did not crash it. */
  recordAnswer(): void {
    this.#monitor.recordSurvival(this.#promptParts);
    if (this.#monitor.hasSuspects) {
      this.#monitor.recordAnswer(this.#fingerprint);
    }
  }

  /** Reports a failed attempt that may mean its target crashed. */
  recordFailure(
    run: string,
    { outcome, errorCode }: Pick<AttemptFailure, "outcome" | "errorCode">,
  ): void {
    if (outcome === "notSent") {
      const isRefused = errorCode === CONNECTION_REFUSED;
      this.#monitor.recordTargetDown(
        run,
        isRefused ? "connection refused" : "connection failed",
      );
    }
    if (outcome !== "broken" && outcome !== "silent") return;
    if (this.#hasSurvived) this.#monitor.recordSurvival(this.#promptParts);
    const nowMs = performance.now();
    const isSameFailure = nowMs - this.#lostAtMs < SAME_FAILURE_MS;
    this.#lostAtMs = nowMs;
    this.#monitor.recordLostAnswer(run, {
      fingerprint: isSameFailure ? undefined : this.#fingerprint,
      promptParts: this.#hasSurvived ? [] : this.#promptParts,
    });
  }

  /** True if the target has written for longer than until a crash. */
  get #hasSurvived(): boolean {
    return this.#pieceCount >= SURVIVED_PIECES &&
      this.#lastPieceAtMs - this.#firstPieceAtMs >= SURVIVED_MS;
  }

  get #promptParts(): readonly string[] {
    return this.#request.head.sharedPromptParts;
  }

  /** A digest that is the same whenever the caller repeats the request. */
  get #fingerprint(): string {
    const { method, path, body, organisation = "" } = this.#request;
    return this.#digest ??= digestRequest({ organisation, method, path, body });
  }
}
