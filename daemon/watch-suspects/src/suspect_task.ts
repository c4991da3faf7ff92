/** Owns the quarantine core: which requests crash the targets that run them. */

import type { Logger } from "@dandelionbank/log-events";
import {
  createQuarantineState,
  judge,
  type Loss,
  type QuarantineEffect,
  type QuarantineEvent,
  type QuarantineState,
  step,
  type Verdict,
} from "@dandelionbank/quarantine-requests";
import { CoreRunner } from "@dandelionbank/run-core";

/** As long as a caller is likely to go on sending the same request. */
export const QUARANTINE_MS = 600_000;

const QUARANTINE_OPTIONS = {
  quarantineMs: QUARANTINE_MS,
  settleMs: 1_000,
  memoryMs: 60_000,
  maxFingerprints: 10_000,
} as const;

export interface SuspectTaskOptions {
  readonly logger: Logger;
  readonly readNowMs: () => number;
  /** Tells every other entry what was lost. */
  readonly broadcastLosses: (losses: readonly Loss[]) => void;
  /** Tells every other entry what is refused. */
  readonly broadcastQuarantine: (fingerprint: string) => void;
}

export class SuspectTask {
  readonly #options: SuspectTaskOptions;
  readonly #runner: CoreRunner<
    QuarantineState,
    QuarantineEvent,
    QuarantineEffect
  >;
  /** Attempts that run apart from other suspects. */
  readonly #apart = new Set<string>();

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

  judge(fingerprint: string): Verdict {
    return judge(this.#runner.state, fingerprint);
  }

  /** Whether an attempt that is about to be sent has to run apart. */
  registerAttempt(attemptId: string, fingerprint: string): boolean {
    const isSuspect = this.judge(fingerprint).kind !== "clear";
    if (isSuspect) this.#apart.add(attemptId);
    return isSuspect;
  }

  forgetAttempt(attemptId: string): void {
    this.#apart.delete(attemptId);
  }

  /** A target was lost while it ran the attempt. */
  reportLoss(lost: {
    readonly attemptId: string;
    readonly fingerprint: string;
    readonly target: string;
  }): void {
    const { attemptId, fingerprint, target } = lost;
    const alone = this.#apart.has(attemptId);
    this.reportLosses([{ fingerprint, target, alone }]);
  }

  /** A target was lost while it ran these. */
  reportLosses(losses: readonly Loss[]): void {
    this.#runner.post({ type: "targetLost", losses });
  }

  /** False while nothing is suspected, so that nothing has to be judged. */
  get hasSuspects(): boolean {
    return this.#runner.state.suspicions.size > 0;
  }

  /** A target has answered the request. */
  recordAnswer(fingerprint: string): void {
    if (this.judge(fingerprint).kind === "clear") return;
    this.#runner.post({ type: "answered", fingerprint });
  }

  applyRemoteLosses(losses: readonly Loss[]): void {
    this.#runner.post({ type: "lossesTold", losses });
  }

  applyRemoteQuarantine(fingerprint: string): void {
    this.#runner.post({ type: "quarantineTold", fingerprint });
  }

  tick(): void {
    this.#runner.post({ type: "tick" });
  }

  #perform(effect: QuarantineEffect): void {
    if (effect.type === "tellLosses") {
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
