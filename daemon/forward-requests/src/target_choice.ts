/**
 * The targets of one request: chooses one after the other, none twice, and
 * tells placement how each fared.
 */

import {
  type PlacementEffect,
  type PlacementEvent,
  stepPlacement,
} from "@dandelionbank/pick-target";
import type { RegisteredTarget, TargetLoad } from "@dandelionbank/types";
import type { ForwardContext } from "./forward_context.ts";

export interface TargetChoiceOptions {
  readonly service: string;
  /** Unique at this entry. */
  readonly requestId: string;
}

export class TargetChoice {
  readonly #context: ForwardContext;
  readonly #options: TargetChoiceOptions;
  readonly #tried: string[] = [];
  #current: RegisteredTarget | undefined;

  private constructor(context: ForwardContext, options: TargetChoiceOptions) {
    this.#context = context;
    this.#options = options;
  }

  static create(
    context: ForwardContext,
    options: TargetChoiceOptions,
  ): TargetChoice {
    return new TargetChoice(context, options);
  }

  /** The target that has the request now. */
  get current(): RegisteredTarget | undefined {
    return this.#current;
  }

  /** The id of the last target that was chosen. */
  get lastId(): string | undefined {
    return this.#tried.at(-1);
  }

  /** True if a target is open that the request was not sent to. */
  get hasOther(): boolean {
    return this.#context.hasOtherTarget(this.#options.service, this.#tried);
  }

  /** Chooses the next target; undefined if none may be chosen. */
  next(): RegisteredTarget | undefined {
    const [effect] = this.#tell({
      type: "pickRequested",
      attemptId: this.#attemptIdAt(this.#tried.length + 1),
      pool: this.#options.service,
      exclude: this.#tried,
    });
    if (effect?.type !== "picked") return undefined;
    this.#tried.push(effect.target);
    this.#current = this.#context.findTarget(effect.target);
    if (this.#current === undefined) {
      this.#tell({ type: "targetLost", attemptId: this.#attemptId });
    }
    return this.#current;
  }

  noteLoad(load: TargetLoad): void {
    if (this.#current === undefined) return;
    const target = this.#current.id;
    this.#tell({ type: "loadReported", target, load });
  }

  /** The target has ended the request, or was left by its caller. */
  release(load?: TargetLoad): void {
    if (this.#current === undefined) return;
    this.#current = undefined;
    this.#tell({
      type: "targetReplied",
      attemptId: this.#attemptId,
      ...(load === undefined ? {} : { load }),
    });
  }

  /** The target did not end the request. */
  releaseLost(): void {
    if (this.#current === undefined) return;
    this.#current = undefined;
    this.#tell({ type: "targetLost", attemptId: this.#attemptId });
  }

  #tell(event: PlacementEvent): readonly PlacementEffect[] {
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

  #attemptIdAt(count: number): string {
    return `${this.#options.requestId}/${count}`;
  }
}
