/** Runs the placement core and tracks which pick belongs to which attempt. */

import type { TextHash } from "@dandelionbank/hash-text";
import {
  createPlacementState,
  DEFAULT_POLICY,
  type PlacementEffect,
  type PlacementEvent,
  type PlacementState,
  type PlacementTarget,
  stepPlacement,
} from "@dandelionbank/pick-target";
import { CoreRunner } from "@dandelionbank/run-core";
import type { TargetLoad } from "@dandelionbank/types";

/** Retry delay if the core returned no result, which violates its invariants. */
const NO_RESULT_RETRY_MS = 1_000;

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

/** The part of an agent's reply that concerns its target's load. */
export interface TargetReply {
  readonly load?: TargetLoad;
  readonly refusedForMs?: number;
}

export class Placer {
  readonly #options: PlacerOptions;
  readonly #runner: CoreRunner<
    PlacementState,
    PlacementEvent,
    PlacementEffect
  >;
  /** Latest pick of each request, kept until its attempt has an id. */
  readonly #picksByRequest = new Map<string, string>();
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
      perform: (effect) => this.#perform(effect),
      readNowMs: options.readNowMs,
    });
  }

  static create(options: PlacerOptions): Placer {
    return new Placer(options);
  }

  /** Picks a target and counts the pick towards its load until the attempt ends. */
  pick(request: PickRequest): PickResult {
    const pickId = `${request.requestId}#${++this.#lastPick}`;
    this.#runner.post({
      type: "pickRequested",
      attemptId: pickId,
      pool: request.pool,
      exclude: request.avoid,
      ...(request.promptPrefix === ""
        ? {}
        : { prefixHash: this.#options.hash(request.promptPrefix) }),
    });
    const result = this.#takeResult();
    if (result.kind === "picked") {
      this.#picksByRequest.set(request.requestId, pickId);
    }
    return result;
  }

  /** Associates the request's latest pick with its attempt. */
  bindAttempt(requestId: string, attemptId: string): void {
    const pickId = this.#picksByRequest.get(requestId);
    if (pickId === undefined) return;
    this.#picksByRequest.delete(requestId);
    this.#picksByAttempt.set(attemptId, pickId);
  }

  /** Records that the agent reported the end of the attempt. */
  recordReply(attemptId: string, reply: TargetReply): void {
    const pickId = this.#takePick(attemptId);
    if (pickId === undefined) return;
    this.#runner.post({ type: "targetReplied", attemptId: pickId, ...reply });
  }

  /** Records that the attempt ended without a report from the agent. */
  recordLoss(attemptId: string): void {
    const pickId = this.#takePick(attemptId);
    if (pickId === undefined) return;
    this.#runner.post({ type: "targetLost", attemptId: pickId });
  }

  replaceTargets(targets: readonly PlacementTarget[]): void {
    this.#runner.post({ type: "targetsChanged", targets });
  }

  setPolicy(policy: string | undefined): void {
    this.#runner.post({
      type: "policyChanged",
      policy: policy ?? DEFAULT_POLICY,
    });
  }

  #takeResult(): PickResult {
    const result = this.#result;
    this.#result = undefined;
    return result ??
      { kind: "refused", code: "noTarget", retryAfterMs: NO_RESULT_RETRY_MS };
  }

  #takePick(attemptId: string): string | undefined {
    const pickId = this.#picksByAttempt.get(attemptId);
    this.#picksByAttempt.delete(attemptId);
    return pickId;
  }

  #perform(effect: PlacementEffect): void {
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
