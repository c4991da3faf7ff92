/** What an entry of the soak `requests` knows of requests that crash targets. */

import * as quarantine from "@dandelionbank/quarantine-requests";
import type {
  QuarantineEvent,
  TargetLoss,
} from "@dandelionbank/quarantine-requests";
import type { World } from "./world.ts";

export class EntrySuspects {
  readonly #world: World;
  readonly #name: string;
  readonly #state = quarantine.createQuarantineState({
    quarantineMs: 60_000,
    settleMs: 100,
    retentionMs: 30_000,
    maxFingerprints: 1_000,
  });
  /** Attempts that run apart from other suspects. */
  readonly #apart = new Set<string>();

  constructor(world: World, name: string) {
    this.#world = world;
    this.#name = name;
  }

  judge(fingerprint: string): quarantine.Verdict {
    return quarantine.evaluateFingerprint(this.#state, fingerprint);
  }

  /** Whether an attempt that is about to be sent has to run apart. */
  noteAttempt(attemptId: string, fingerprint: string): boolean {
    const isSuspect = this.judge(fingerprint).kind !== "clear";
    if (isSuspect) this.#apart.add(attemptId);
    return isSuspect;
  }

  lose(lost: {
    readonly attemptId: string;
    readonly fingerprint: string;
    readonly target: string;
  }): void {
    const { attemptId, fingerprint, target } = lost;
    const alone = this.#apart.has(attemptId);
    const losses = [{ fingerprint, target, alone }];
    this.#feed({ type: "targetLost", losses });
  }

  hear(losses: readonly TargetLoss[]): void {
    this.#feed({ type: "lossesReported", losses });
  }

  passTime(): void {
    this.#feed({ type: "tick" });
  }

  #feed(event: QuarantineEvent): void {
    const { queue, plan, quarantined } = this.#world;
    const nowMs = queue.clockMs(this.#name);
    const { effects } = quarantine.step(this.#state, event, nowMs);
    for (const effect of effects) {
      if (effect.type === "quarantine") {
        quarantined.add(effect.fingerprint);
        continue;
      }
      const { losses } = effect;
      for (const to of plan.entries) {
        if (to === this.#name) continue;
        queue.post({ from: this.#name, to }, { type: "losses", losses });
      }
    }
  }
}
