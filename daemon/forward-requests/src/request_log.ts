/** Tells what was decided on one request: a log line each, and the metrics. */

import { computeProofAgeMs } from "@dandelionbank/hold-configuration";
import { readInstant } from "@dandelionbank/read-instant";
import type { NextAction } from "@dandelionbank/decide-retries";
import type { RegisteredTarget } from "@dandelionbank/types";
import type { AttemptEnd } from "./attempt.ts";
import type { ForwardContext } from "./forward_context.ts";
import type { GateAnswer } from "./stream_gate.ts";

export interface RequestLogOptions {
  readonly requestId: string;
  readonly service: string;
  readonly route: string;
  readonly arrivedAtMs: number;
}

export interface RequestEnd {
  readonly outcome: string;
  readonly status: number;
  readonly attempts: number;
  readonly target: string | undefined;
  readonly firstByteAtMs: number | undefined;
}

export class RequestLog {
  readonly #context: ForwardContext;
  readonly #options: RequestLogOptions;

  private constructor(context: ForwardContext, options: RequestLogOptions) {
    this.#context = context;
    this.#options = options;
  }

  static create(
    context: ForwardContext,
    options: RequestLogOptions,
  ): RequestLog {
    return new RequestLog(context, options);
  }

  noteRouted(): void {
    const { held, logger } = this.#context;
    const { requestId, service, route } = this.#options;
    logger.log("requestRouted", {
      requestId,
      service,
      route,
      version: held.table?.configuration.version,
      proofAgeMs: Math.round(computeProofAgeMs(held, readInstant())),
    });
  }

  noteTurn(answer: GateAnswer): void {
    const { logger, gate } = this.#context;
    const { requestId, service } = this.#options;
    const { active, activeFromOtherEntries: activeFromOtherEntries, capacity } =
      gate.view(service);
    const load = { active, others: activeFromOtherEntries, capacity };
    if (answer.kind === "admitted") {
      const waitedMs = Math.round(answer.waitedMs);
      logger.log("streamAdmitted", { requestId, waitedMs, ...load });
      return;
    }
    const predictedWaitMs = Math.round(answer.predictedWaitMs);
    logger.log("streamRefused", { requestId, predictedWaitMs, ...load });
  }

  noteQuarantined(
    { fingerprint, retryAfterMs }: {
      readonly fingerprint: string;
      readonly retryAfterMs: number;
    },
  ): void {
    this.#context.logger.log("requestRefusedCrashing", {
      requestId: this.#options.requestId,
      fingerprint,
      retryAfterMs: Math.round(retryAfterMs),
    });
  }

  noteSent(
    target: RegisteredTarget,
    { attempt, leftMs }: { readonly attempt: number; readonly leftMs: number },
  ): void {
    this.#context.logger.log("attemptSent", {
      requestId: this.#options.requestId,
      attempt,
      target: target.id,
      leftMs: Math.round(leftMs),
    });
  }

  noteAttemptEnd(
    { outcome, reason, targetAtFault }: AttemptEnd,
    { attempt, target, sentAtMs, next }: {
      readonly attempt: number;
      readonly target: string | undefined;
      readonly sentAtMs: number;
      readonly next: NextAction;
    },
  ): void {
    const { logger, metrics } = this.#context;
    const { requestId, service } = this.#options;
    const isOwnFault = targetAtFault === undefined || targetAtFault === target;
    logger.log("attemptFailed", {
      requestId,
      attempt,
      target,
      result: outcome,
      elapsedMs: Math.round(performance.now() - sentAtMs),
      reason: isOwnFault ? reason : `${reason}, fault of ${targetAtFault}`,
      next: next.type,
    });
    metrics.noteAttempt(service, outcome);
  }

  noteEnd({ outcome, status, attempts, target, firstByteAtMs }: RequestEnd) {
    const { logger, metrics } = this.#context;
    const { requestId, service, arrivedAtMs } = this.#options;
    const elapsedMs = performance.now() - arrivedAtMs;
    const firstMs = firstByteAtMs === undefined
      ? undefined
      : firstByteAtMs - arrivedAtMs;
    metrics.noteRequest({ service, outcome, firstMs, elapsedMs });
    logger.log("requestAnswered", {
      requestId,
      service,
      outcome,
      status,
      elapsedMs: Math.round(elapsedMs),
      firstMs: firstMs === undefined ? undefined : Math.round(firstMs),
      attempts,
      target,
    });
  }
}
