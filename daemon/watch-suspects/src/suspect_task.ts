/**
 * Runs the quarantine core, which decides which requests crash their targets. A
 * request is identified by its fingerprint, which stays the same when the caller
 * repeats it. Suspect requests run apart from one another, so that the next loss
 * of a target shows which of them crashes it.
 */

import type { Logger } from "@dandelionbank/log-events";
import {
  createQuarantineState,
  evaluateFingerprint,
  type QuarantineEffect,
  type QuarantineEvent,
  type QuarantineState,
  step,
  type TargetLoss,
  type Verdict,
} from "@dandelionbank/quarantine-requests";
import { CoreRunner } from "@dandelionbank/run-core";

/** As long as a caller is likely to keep repeating the same request. */
export const QUARANTINE_MS = 600_000;

const QUARANTINE_OPTIONS = {
  quarantineMs: QUARANTINE_MS,
  settleMs: 1_000,
  retentionMs: 60_000,
  maxFingerprints: 10_000,
} as const;

export interface SuspectTaskOptions {
  readonly logger: Logger;
  readonly readNowMs: () => number;
  /** Sends losses to all other entries. */
  readonly broadcastLosses: (losses: readonly TargetLoss[]) => void;
  /** Sends a quarantined fingerprint to all other entries. */
  readonly broadcastQuarantine: (fingerprint: string) => void;
}

export class SuspectTask {
  readonly #options: SuspectTaskOptions;
  readonly #runner: CoreRunner<
    QuarantineState,
    QuarantineEvent,
    QuarantineEffect
  >;
  /** Attempts that run isolated from other suspects. */
  readonly #isolated = new Set<string>();

  private constructor(options: SuspectTaskOptions) {
    this.#options = options;
    this.#runner = CoreRunner.create({
      initial: createQuarantineState(QUARANTINE_OPTIONS),
      step,
      perform: (effect) => this.#perform(effect),
      readNowMs: options.readNowMs,
    });
  }

  static create(options: SuspectTaskOptions): SuspectTask {
    return new SuspectTask(options);
  }

  evaluate(fingerprint: string): Verdict {
    return evaluateFingerprint(this.#runner.state, fingerprint);
  }

  /**
   * Registers an attempt about to be sent; returns whether it must run
   * isolated.
   */
  registerAttempt(attemptId: string, fingerprint: string): boolean {
    const isSuspect = this.evaluate(fingerprint).kind !== "clear";
    if (isSuspect) this.#isolated.add(attemptId);
    return isSuspect;
  }

  /** Removes the record of an attempt whose request has ended. */
  removeAttempt(attemptId: string): void {
    this.#isolated.delete(attemptId);
  }

  /** Reports a target lost while it ran the attempt. */
  reportLoss(lost: {
    readonly attemptId: string;
    readonly fingerprint: string;
    readonly target: string;
  }): void {
    const { attemptId, fingerprint, target } = lost;
    const alone = this.#isolated.has(attemptId);
    this.reportLosses([{ fingerprint, target, alone }]);
  }

  /** Reports the requests that a lost target was running. */
  reportLosses(losses: readonly TargetLoss[]): void {
    this.#runner.post({ type: "targetLost", losses });
  }

  /** False while there are no suspects, so that requests need no check. */
  get hasSuspects(): boolean {
    return this.#runner.state.suspicions.size > 0;
  }

  /** Records that a target has answered the request. */
  recordAnswer(fingerprint: string): void {
    if (this.evaluate(fingerprint).kind === "clear") return;
    this.#runner.post({ type: "answered", fingerprint });
  }

  applyRemoteLosses(losses: readonly TargetLoss[]): void {
    this.#runner.post({ type: "lossesReported", losses });
  }

  applyRemoteQuarantine(fingerprint: string): void {
    this.#runner.post({ type: "quarantineReported", fingerprint });
  }

  tick(): void {
    this.#runner.post({ type: "tick" });
  }

  #perform(effect: QuarantineEffect): void {
    if (effect.type === "broadcastLosses") {
      return this.#options.broadcastLosses(effect.losses);
    }
    const { fingerprint, targets } = effect;
    this.#options.logger.log("requestQuarantined", {
      fingerprint,
      quarantineMs: QUARANTINE_MS,
      targets: targets.join(", "),
    });
    this.#options.broadcastQuarantine(fingerprint);
  }
}
