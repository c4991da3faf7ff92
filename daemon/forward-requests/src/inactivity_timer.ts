/**
 * Times out an attempt whose target makes no progress. An attempt is timed out
 * only if another target could serve the request sooner: not without an untried
 * target, and not while the whole group stalls. The ranks of a group stall
 * together, since they begin each step together.
 */

import {
  hasProgressElsewhere,
  recordProgress,
} from "@dandelionbank/track-progress";
import type { ForwardContext } from "./forward_context.ts";
import type { TargetSelector } from "./target_selector.ts";

/** Added to the group's own stall time for the network round trip. */
const STALL_MARGIN_MS = 250;
/** Timeout of a plain call, as a multiple of its route's latency objective. */
const TIMEOUT_OBJECTIVE_FACTOR = 2;

export interface InactivityTimerOptions {
  readonly service: string;
  readonly targets: TargetSelector;
  /** True if the targets are ranks of a group, which stall together. */
  readonly isGroup: boolean;
  readonly isStream: boolean;
  readonly objectiveMs: number;
  readonly onTimeout: (timeoutMs: number) => void;
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

  /** Starts or restarts the timer. */
  start(): void {
    this.stop();
    const timeoutMs = this.#timeoutMs;
    this.#timer = setTimeout(() => this.#handleExpiry(timeoutMs), timeoutMs);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  /** Records that the current target made progress. */
  recordProgress(): void {
    const target = this.#options.targets.current?.run;
    if (target === undefined) return;
    const { service } = this.#options;
    const nowMs = performance.now();
    recordProgress(this.#context.progress, { service, target, nowMs });
  }

  get #timeoutMs(): number {
    const { isStream, objectiveMs } = this.#options;
    return isStream
      ? this.#context.stallMs + STALL_MARGIN_MS
      : TIMEOUT_OBJECTIVE_FACTOR * objectiveMs;
  }

  #handleExpiry(timeoutMs: number): void {
    const { targets, onTimeout } = this.#options;
    if (!targets.hasUntried) return;
    if (this.#isGroupStalled(timeoutMs)) return this.start();
    onTimeout(timeoutMs);
  }

  /**
   * Returns true if no other rank of the group has made progress in the second
   * half of the timeout.
   */
  #isGroupStalled(timeoutMs: number): boolean {
    const { service, targets, isGroup } = this.#options;
    return isGroup && !hasProgressElsewhere(this.#context.progress, {
      service,
      target: targets.current?.run ?? "",
      sinceMs: performance.now() - timeoutMs / 2,
    });
  }
}
