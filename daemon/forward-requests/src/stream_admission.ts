/**
 * Lets streams through to the groups of each service, one admission core a
 * service. A stream that has to wait is told when its turn has come, or that it
 * is refused.
 */

import {
  type AdmissionEffect,
  type AdmissionEvent,
  type AdmissionState,
  createAdmission,
  stepAdmission,
} from "@dandelionbank/admit-streams";
import type { EngineProfile } from "@dandelionbank/types";

/** What a group takes at a time, and what others have there. */
export interface GroupLoad {
  readonly capacity: number;
  readonly activeOfOthers: number;
  readonly entryCount: number;
}

export interface AdmissionRequest {
  readonly id: string;
  readonly service: string;
  readonly profile: EngineProfile;
  readonly arrivedAtMs: number;
  readonly objectiveMs: number;
  readonly patienceMs: number;
  readonly priority: number;
}

export type AdmissionDecision =
  | { readonly kind: "admitted"; readonly waitedMs: number }
  | {
    readonly kind: "refused";
    readonly retryAfterMs: number;
    readonly predictedWaitMs: number;
  };

export interface ServiceLoad extends GroupLoad {
  readonly active: number;
}

export interface StreamAdmissionOptions {
  readonly readLoad: (service: string) => GroupLoad;
}

export class StreamAdmission {
  readonly #options: StreamAdmissionOptions;
  readonly #services = new Map<string, AdmissionState>();
  readonly #waiting = new Map<string, (answer: AdmissionDecision) => void>();

  private constructor(options: StreamAdmissionOptions) {
    this.#options = options;
  }

  static create(options: StreamAdmissionOptions): StreamAdmission {
    return new StreamAdmission(options);
  }

  /** Calls back at once if the stream may start, or has no chance to. */
  enqueue(
    request: AdmissionRequest,
    onAnswer: (answer: AdmissionDecision) => void,
  ): void {
    const { id, service, arrivedAtMs, objectiveMs } = request;
    const { patienceMs, priority } = request;
    this.#waiting.set(id, onAnswer);
    if (!this.#services.has(service)) {
      this.#services.set(service, createAdmission(estimate(request.profile)));
    }
    this.#post(service, { type: "groupChanged", ...this.#load(service) });
    this.#post(service, {
      type: "arrived",
      id,
      arrivedAtMs,
      objectiveMs,
      patienceMs,
      priority,
    });
  }

  /** A stream that was admitted has ended. */
  release(service: string): void {
    this.#post(service, { type: "ended" });
  }

  /** A stream that waits is wanted no longer. */
  cancel(service: string, id: string): void {
    this.#waiting.delete(id);
    this.#post(service, { type: "left", id });
  }

  /** Looks again at what the others have, and at who has waited too long. */
  updateLoads(): void {
    for (const service of this.#services.keys()) {
      this.#post(service, { type: "groupChanged", ...this.#load(service) });
    }
  }

  /** Streams that were admitted and have not ended, by service. */
  countActive(): Readonly<Record<string, number>> {
    const entries = [...this.#services].map(([service, { active }]) =>
      [service, active] as const
    );
    return Object.fromEntries(entries);
  }

  readServiceLoad(service: string): ServiceLoad {
    const active = this.#services.get(service)?.active ?? 0;
    return { active, ...this.#load(service) };
  }

  #load(service: string): GroupLoad {
    return this.#options.readLoad(service);
  }

  #post(service: string, event: AdmissionEvent): void {
    const state = this.#services.get(service);
    if (state === undefined) return;
    const { effects } = stepAdmission(state, event, performance.now());
    for (const effect of effects) this.#answer(effect);
  }

  #answer(effect: AdmissionEffect): void {
    const onAnswer = this.#waiting.get(effect.id);
    this.#waiting.delete(effect.id);
    if (effect.type === "admitted") {
      onAnswer?.({ kind: "admitted", waitedMs: effect.waitedMs });
      return;
    }
    const { retryAfterMs, predictedWaitMs } = effect;
    onAnswer?.({ kind: "refused", retryAfterMs, predictedWaitMs });
  }
}

/** Times of a mean stream on a full and even group. */
function estimate(profile: EngineProfile) {
  const { stepMs, stepPerRequestMs, maxBatch, prefillTokensPerS } = profile;
  const fullStepMs = stepMs + stepPerRequestMs * maxBatch;
  const readMs = profile.meanPromptTokens / prefillTokensPerS * 1_000;
  return {
    expectedRunMs: readMs + profile.meanAnswerTokens * fullStepMs,
    expectedFirstMs: readMs + fullStepMs * profile.stepsPerPass,
  };
}
