/**
 * Selects the targets of one request, never the same one twice, and reports the
 * result of each attempt to the placement core.
 */

import {
  assignRetryMs,
  hasAvailableTarget,
  type PlacementEffect,
  type PlacementEvent,
  stepPlacement,
} from "@dandelionbank/pick-target";
import type {
  RegisteredTarget,
  TargetLoad,
  TargetNotices,
} from "@dandelionbank/types";
import type { ForwardContext } from "./forward_context.ts";
import { logNoticeChange } from "./log_notice_change.ts";

export interface TargetSelectorOptions {
  readonly service: string;
  /** Unique at this entry. */
  readonly requestId: string;
}

export class TargetSelector {
  readonly #context: ForwardContext;
  readonly #options: TargetSelectorOptions;
  /** Runs of the targets that were selected. */
  readonly #tried: string[] = [];
  #current: RegisteredTarget | undefined;
  #lastTargetId: string | undefined;
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
    return this.#lastTargetId;
  }

  /** True if a target that has not been tried takes a request now. */
  get hasUntried(): boolean {
    const pool = { pool: this.#options.service, exclude: this.#tried };
    return hasAvailableTarget(
      this.#context.placement,
      pool,
      performance.now(),
    );
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
    this.#lastTargetId = this.#current?.id;
    if (this.#current === undefined) {
      this.#dispatch({ type: "targetLost", attemptId: this.#attemptId });
    }
    return this.#current;
  }

  /**
   * Assigns the time after which the refused caller may return, if no target takes
   * a request now because of what they have announced.
   */
  assignRetryMs(): number | undefined {
    const { placement } = this.#context;
    const { service } = this.#options;
    return this.#busyForMs ??
      assignRetryMs(placement, service, performance.now());
  }

  /** Records what the target announces in the head of an answer. */
  reportNotices(
    { notices, sentAtMs }: {
      readonly notices: TargetNotices;
      /** When the request was sent to the current target. */
      readonly sentAtMs: number;
    },
  ): void {
    if (this.#current === undefined) return;
    const { notices: tracked, logger, pools } = this.#context;
    const target = this.#current.run;
    const changes = tracked.recordAnswer(
      { target, notices, sentAtMs },
      performance.now(),
    );
    for (const change of changes) logNoticeChange(logger, change);
    if (notices.isLeaving) pools.drainPool(target);
  }

  reportLoad(load: TargetLoad): void {
    if (this.#current === undefined) return;
    const target = this.#current.run;
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
