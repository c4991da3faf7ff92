/** Tracks the requests that crash targets, for an entry of the soak `requests`. */

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
  /** Attempts of suspect requests, which an agent runs apart from other suspects. */
  readonly #isolatedAttempts = new Set<string>();

  constructor(world: World, name: string) {
    this.#world = world;
    this.#name = name;
  }

  evaluate(fingerprint: string): quarantine.Verdict {
    return quarantine.evaluateFingerprint(this.#state, fingerprint);
  }

  /** Records an attempt before it is sent; returns whether its request is a suspect. */
  registerAttempt(attemptId: string, fingerprint: string): boolean {
    const isSuspect = this.evaluate(fingerprint).kind !== "clear";
    if (isSuspect) this.#isolatedAttempts.add(attemptId);
    return isSuspect;
  }

  reportLoss(loss: {
    readonly attemptId: string;
    readonly fingerprint: string;
    readonly target: string;
  }): void {
    const { attemptId, fingerprint, target } = loss;
    const alone = this.#isolatedAttempts.has(attemptId);
    const losses = [{ fingerprint, target, alone }];
    this.#handleEvent({ type: "targetLost", losses });
  }

  applyRemoteLosses(losses: readonly TargetLoss[]): void {
    this.#handleEvent({ type: "lossesReported", losses });
  }

  tick(): void {
    this.#handleEvent({ type: "tick" });
  }

  #handleEvent(event: QuarantineEvent): void {
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
