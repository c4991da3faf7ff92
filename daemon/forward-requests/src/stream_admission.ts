/**
 * Admits streams to the groups of each service, with one admission core per
 * service. A stream that has to wait is called back once it is admitted or
 * refused.
 */

import {
  type AdmissionEffect,
  type AdmissionEvent,
  type AdmissionState,
  createAdmissionState,
  stepAdmission,
} from "@dandelionbank/admit-streams";
import type { EngineProfile } from "@dandelionbank/types";
import {
  estimateFullStepMs,
  estimateMeanRunMs,
  estimatePrefillMs,
} from "./estimate_run.ts";

/** Capacity of a service's group for streams, and its use by other entries. */
export interface GroupLoad {
  /** Streams that can run at the same time. */
  readonly capacity: number;
  readonly activeFromOtherEntries: number;
  readonly entryCount: number;
  /** Time until the group takes streams; infinite if all of its targets leave. */
  readonly opensInMs: number;
}

export interface AdmissionRequest {
  readonly id: string;
  readonly service: string;
  readonly profile: EngineProfile;
  readonly arrivedAtMs: number;
  /** Objective for the time from arrival to the first event. */
  readonly objectiveMs: number;
  /** How long the caller waits for the first event before it disconnects. */
  readonly patienceMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
}

export type AdmissionDecision =
  | { readonly kind: "admitted"; readonly waitedMs: number }
  | {
    readonly kind: "refused";
    readonly retryAfterMs: number;
    readonly predictedWaitMs: number;
  };

/** Load of a service's group, with this entry's own streams. */
export interface ServiceLoad extends GroupLoad {
  readonly active: number;
}

export interface StreamAdmissionOptions {
  /** Reads the load of a service whose streams run for about `runMs`. */
  readonly readLoad: (service: string, runMs: number) => GroupLoad;
}

export class StreamAdmission {
  readonly #options: StreamAdmissionOptions;
  readonly #services = new Map<string, AdmissionState>();
  readonly #decisionListeners = new Map<
    string,
    (decision: AdmissionDecision) => void
  >();

  private constructor(options: StreamAdmissionOptions) {
    this.#options = options;
  }

  static create(options: StreamAdmissionOptions): StreamAdmission {
    return new StreamAdmission(options);
  }

  /**
   * Queues a stream for admission. Calls back at once if the stream may start,
   * or if it could not start in time.
   */
  enqueue(
    request: AdmissionRequest,
    onDecision: (decision: AdmissionDecision) => void,
  ): void {
    const { id, service, arrivedAtMs, objectiveMs } = request;
    const { patienceMs, priority } = request;
    this.#decisionListeners.set(id, onDecision);
    if (!this.#services.has(service)) {
      this.#services.set(
        service,
        createAdmissionState(estimateDurations(request.profile)),
      );
    }
    this.#dispatch(service, {
      type: "groupChanged",
      ...this.#readLoad(service),
    });
    this.#dispatch(service, {
      type: "arrived",
      id,
      arrivedAtMs,
      objectiveMs,
      patienceMs,
      priority,
    });
  }

  /** Frees the capacity of an admitted stream that has ended. */
  release(service: string): void {
    this.#dispatch(service, { type: "ended" });
  }

  /** Removes a waiting stream from the queue. */
  cancel(service: string, id: string): void {
    this.#decisionListeners.delete(id);
    this.#dispatch(service, { type: "cancelled", id });
  }

  /**
   * Applies the current load of other entries, and expires streams that have
   * waited too long.
   */
  updateLoads(): void {
    for (const service of this.#services.keys()) {
      this.#dispatch(service, {
        type: "groupChanged",
        ...this.#readLoad(service),
      });
    }
  }

  /** Counts the admitted streams that have not ended, by service. */
  countActive(): Readonly<Record<string, number>> {
    const entries = [...this.#services].map(([service, { active }]) =>
      [service, active] as const
    );
    return Object.fromEntries(entries);
  }

  readServiceLoad(service: string): ServiceLoad {
    const active = this.#services.get(service)?.active ?? 0;
    return { active, ...this.#readLoad(service) };
  }

  #readLoad(service: string): GroupLoad {
    const runMs = this.#services.get(service)?.options.expectedRunMs ?? 0;
    return this.#options.readLoad(service, runMs);
  }

  #dispatch(service: string, event: AdmissionEvent): void {
    const state = this.#services.get(service);
    if (state === undefined) return;
    const { effects } = stepAdmission(state, event, performance.now());
    for (const effect of effects) this.#notify(effect);
  }

  #notify(effect: AdmissionEffect): void {
    const onDecision = this.#decisionListeners.get(effect.id);
    this.#decisionListeners.delete(effect.id);
    if (effect.type === "admitted") {
      onDecision?.({ kind: "admitted", waitedMs: effect.waitedMs });
      return;
    }
    const { retryAfterMs, predictedWaitMs } = effect;
    onDecision?.({ kind: "refused", retryAfterMs, predictedWaitMs });
  }
}

/**
 * Estimates how long an average stream runs, and how long until its first event,
 * on a full, balanced group.
 */
function estimateDurations(profile: EngineProfile) {
  const fullStepMs = estimateFullStepMs(profile);
  const prefillMs = estimatePrefillMs(profile, profile.meanPromptTokens);
  return {
    expectedRunMs: estimateMeanRunMs(profile),
    expectedFirstEventMs: prefillMs + fullStepMs * profile.stepsPerPass,
  };
}
