/**
 * Selects the targets of one request, never the same one twice, and reports the
 * result of each attempt to the placement core.
 */

import {
  type PlacementEffect,
  type PlacementEvent,
  stepPlacement,
} from "@dandelionbank/pick-target";
import type { RegisteredTarget, TargetLoad } from "@dandelionbank/types";
import type { ForwardContext } from "./forward_context.ts";
import { logLimitChange } from "./log_limit_change.ts";

export interface TargetSelectorOptions {
  readonly service: string;
  /** Unique at this entry. */
  readonly requestId: string;
}

export class TargetSelector {
  readonly #context: ForwardContext;
  readonly #options: TargetSelectorOptions;
  readonly #tried: string[] = [];
  #current: RegisteredTarget | undefined;
  #busyForMs: number | undefined;

  private constructor(context: ForwardContext, options: TargetSelectorOptions) {
    this.#context = context;
    this.#options = options;
  }

  static create(
    context: ForwardContext,
    options: TargetSelectorOptions,
  ): TargetSelector {
    return new TargetSelector(context, options);
  }

  /** The target that is handling the request. */
  get current(): RegisteredTarget | undefined {
    return this.#current;
  }

  /** The id of the target selected last. */
  get lastTargetId(): string | undefined {
    return this.#tried.at(-1);
  }

  /** True if there is an open target that has not been tried. */
  get hasUntried(): boolean {
    return this.#context.hasUntriedTarget(this.#options.service, this.#tried);
  }

  /** Selects the next target; undefined if none is available. */
  selectNext(): RegisteredTarget | undefined {
    const [effect] = this.#dispatch({
      type: "pickRequested",
      attemptId: this.#attemptIdAt(this.#tried.length + 1),
      pool: this.#options.service,
      exclude: this.#tried,
    });
    this.#busyForMs = effect?.type === "refused" &&
        effect.code === "DANDELIONBANK_POOL_BUSY"
      ? effect.retryAfterMs
      : undefined;
    if (effect?.type !== "picked") return undefined;
    this.#tried.push(effect.target);
    this.#current = this.#context.findTarget(effect.target);
    if (this.#current === undefined) {
      this.#dispatch({ type: "targetLost", attemptId: this.#attemptId });
    }
    return this.#current;
  }

  /**
   * Time until a target takes a request, if none did when the last one was to be
   * selected because of their limits.
   */
  get busyForMs(): number | undefined {
    return this.#busyForMs;
  }

  /** Records the limit in an answer's headers, or that they name none. */
  reportLimit(
    { perSecond, sentAtMs }: {
      readonly perSecond: number | undefined;
      /** When the request was sent to the current target. */
      readonly sentAtMs: number;
    },
  ): void {
    if (this.#current === undefined) return;
    const { targetLimits, logger } = this.#context;
    const target = this.#current.id;
    const change = targetLimits.recordAnswer(
      { target, perSecond, sentAtMs },
      performance.now(),
    );
    if (change !== undefined) logLimitChange(logger, change);
  }

  reportLoad(load: TargetLoad): void {
    if (this.#current === undefined) return;
    const target = this.#current.id;
    this.#dispatch({ type: "loadReported", target, load });
  }

  /**
   * Releases a target that finished the request, or whose attempt was
   * cancelled.
   */
  release(load?: TargetLoad): void {
    if (this.#current === undefined) return;
    this.#current = undefined;
    this.#dispatch({
      type: "targetReplied",
      attemptId: this.#attemptId,
      ...(load === undefined ? {} : { load }),
    });
  }

  /** Releases a target that was lost before it finished the request. */
  releaseAsLost(): void {
    if (this.#current === undefined) return;
    this.#current = undefined;
    this.#dispatch({ type: "targetLost", attemptId: this.#attemptId });
  }

  #dispatch(event: PlacementEvent): readonly PlacementEffect[] {
    const { placement, logger } = this.#context;
    const { effects } = stepPlacement(placement, event, performance.now());
    for (const effect of effects) {
      if (effect.type !== "invariantViolated") continue;
      const { invariant, detail } = effect;
      logger.log("invariantViolated", { invariant, detail });
    }
    return effects;
  }

  get #attemptId(): string {
    return this.#attemptIdAt(this.#tried.length);
  }

  /** Returns the id of the request's attempt with this number, from 1. */
  #attemptIdAt(attemptNumber: number): string {
    return `${this.#options.requestId}/${attemptNumber}`;
  }
}
