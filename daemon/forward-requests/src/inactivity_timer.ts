/**
 * Watches an attempt for signs of life. It is given up only where another
 * target could serve the request sooner: not without another target, and not
 * while the whole group stalls.
 */

import {
  hasProgressElsewhere,
  noteProgress,
} from "@dandelionbank/follow-progress";
import type { ForwardContext } from "./forward_context.ts";
import type { TargetSelector } from "./target_selector.ts";

/** Beyond a group's own stall, for the way there and back. */
const STALL_MARGIN_MS = 250;
/** A plain call that takes so many objectives is tried elsewhere. */
const SILENT_OBJECTIVES = 2;

export interface InactivityTimerOptions {
  readonly service: string;
  readonly targets: TargetSelector;
  /** True for ranks of a group, which stall together. */
  readonly isGroup: boolean;
  readonly isStream: boolean;
  readonly objectiveMs: number;
  readonly onTimeout: (silenceMs: number) => void;
}

export class InactivityTimer {
  readonly #context: ForwardContext;
  readonly #options: InactivityTimerOptions;
  #timer: NodeJS.Timeout | undefined;

  private constructor(
    context: ForwardContext,
    options: InactivityTimerOptions,
  ) {
    this.#context = context;
    this.#options = options;
  }

  static create(
    context: ForwardContext,
    options: InactivityTimerOptions,
  ): InactivityTimer {
    return new InactivityTimer(context, options);
  }

  /** Counts from now on; a sign of life counts anew. */
  start(): void {
    this.stop();
    const silenceMs = this.#silenceMs;
    this.#timer = setTimeout(() => this.#judge(silenceMs), silenceMs);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  /** The current target has sent something. */
  recordProgress(): void {
    const target = this.#options.targets.current?.id;
    if (target === undefined) return;
    const { service } = this.#options;
    const nowMs = performance.now();
    noteProgress(this.#context.progress, { service, target, nowMs });
  }

  get #silenceMs(): number {
    const { isStream, objectiveMs } = this.#options;
    return isStream
      ? this.#context.stallMs + STALL_MARGIN_MS
      : SILENT_OBJECTIVES * objectiveMs;
  }

  #judge(silenceMs: number): void {
    const { targets, onTimeout } = this.#options;
    if (!targets.hasUntried) return;
    if (this.#isGroupStalled(silenceMs)) return this.start();
    onTimeout(silenceMs);
  }

  #isGroupStalled(silenceMs: number): boolean {
    const { service, targets, isGroup } = this.#options;
    return isGroup && !hasProgressElsewhere(this.#context.progress, {
      service,
      target: targets.current?.id ?? "",
      sinceMs: performance.now() - silenceMs / 2,
    });
  }
}
