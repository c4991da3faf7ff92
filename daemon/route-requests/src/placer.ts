/** Runs the placement core and follows which pick belongs to which attempt. */

import type { TextHash } from "@dandelionbank/hash-text";
import {
  createPlacementState,
  DEFAULT_POLICY,
  type PlacementCoreState,
  type PlacementEffect,
  type PlacementEvent,
  type PlacementTarget,
  stepPlacement,
} from "@dandelionbank/pick-target";
import { CoreRunner } from "@dandelionbank/run-core";
import type { TargetLoad } from "@dandelionbank/types";

/** When to come back if the core gave no answer, which violates its invariants. */
const NO_ANSWER_RETRY_MS = 1_000;

export interface PlacerOptions {
  readonly entry: string;
  readonly hash: TextHash;
  readonly readNowMs: () => number;
  readonly onViolation: (violation: {
    readonly invariant: string;
    readonly detail: string;
  }) => void;
}

export interface PickRequest {
  readonly requestId: string;
  readonly pool: string;
  readonly avoid: readonly string[];
  readonly promptPrefix: string;
}

export type PickResult =
  | { readonly kind: "picked"; readonly target: string }
  | {
    readonly kind: "refused";
    readonly code: string;
    readonly retryAfterMs: number;
  };

/** How an attempt ended, as far as its target's load is concerned. */
export interface AttemptEnding {
  readonly load?: TargetLoad;
  readonly refusedForMs?: number;
}

export class Placer {
  readonly #options: PlacerOptions;
  readonly #runner: CoreRunner<
    PlacementCoreState,
    PlacementEvent,
    PlacementEffect
  >;
  /** The newest pick of each request, until its attempt has an id. */
  readonly #picks = new Map<string, string>();
  readonly #picksByAttempt = new Map<string, string>();
  #lastPick = 0;
  #result: PickResult | undefined;

  private constructor(options: PlacerOptions) {
    this.#options = options;
    this.#runner = CoreRunner.create({
      initial: createPlacementState({
        entry: options.entry,
        random: Math.random,
        hash: options.hash,
      }),
      step: stepPlacement,
      perform: (effect) => this.#take(effect),
      readNowMs: options.readNowMs,
    });
  }

  static create(options: PlacerOptions): Placer {
    return new Placer(options);
  }

  pick(wanted: PickRequest): PickResult {
    const pickId = `${wanted.requestId}#${++this.#lastPick}`;
    this.#runner.post({
      type: "pickRequested",
      attemptId: pickId,
      pool: wanted.pool,
      exclude: wanted.avoid,
      ...(wanted.promptPrefix === ""
        ? {}
        : { prefixHash: this.#options.hash(wanted.promptPrefix) }),
    });
    const result = this.#takeResult();
    if (result.kind === "picked") this.#picks.set(wanted.requestId, pickId);
    return result;
  }

  /** Says which attempt the request's newest pick became. */
  bind(requestId: string, attemptId: string): void {
    const pickId = this.#picks.get(requestId);
    if (pickId === undefined) return;
    this.#picks.delete(requestId);
    this.#picksByAttempt.set(attemptId, pickId);
  }

  /** The agent said how the attempt ended. */
  reply(attemptId: string, ending: AttemptEnding): void {
    const pickId = this.#takePick(attemptId);
    if (pickId === undefined) return;
    this.#runner.post({ type: "targetReplied", attemptId: pickId, ...ending });
  }

  /** The attempt ended without the agent's word. */
  lose(attemptId: string): void {
    const pickId = this.#takePick(attemptId);
    if (pickId === undefined) return;
    this.#runner.post({ type: "targetLost", attemptId: pickId });
  }

  replaceTargets(targets: readonly PlacementTarget[]): void {
    this.#runner.post({ type: "targetsChanged", targets });
  }

  usePolicy(policy: string | undefined): void {
    this.#runner.post({
      type: "policyChanged",
      policy: policy ?? DEFAULT_POLICY,
    });
  }

  #takeResult(): PickResult {
    const result = this.#result;
    this.#result = undefined;
    return result ??
      { kind: "refused", code: "noTarget", retryAfterMs: NO_ANSWER_RETRY_MS };
  }

  #takePick(attemptId: string): string | undefined {
    const pickId = this.#picksByAttempt.get(attemptId);
    this.#picksByAttempt.delete(attemptId);
    return pickId;
  }

  #take(effect: PlacementEffect): void {
    switch (effect.type) {
      case "picked":
        this.#result = { kind: "picked", target: effect.target };
        return;
      case "refused":
        this.#result = {
          kind: "refused",
          code: effect.code,
          retryAfterMs: effect.retryAfterMs,
        };
        return;
      case "invariantViolated":
        return this.#options.onViolation(effect);
    }
  }
}
