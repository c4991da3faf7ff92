/** Logs each decision on one request and records its metrics. */

import { computeProofAgeMs } from "@dandelionbank/track-configuration";
import { readInstant } from "@dandelionbank/read-instant";
import type { BodyFraming } from "@dandelionbank/open-http";
import type { NextAction } from "@dandelionbank/decide-retries";
import type { RegisteredTarget } from "@dandelionbank/types";
import type { AttemptFailure } from "./attempt.ts";
import type { Quarantine } from "./crash_guard.ts";
import type { ForwardContext } from "./forward_context.ts";
import type { AdmissionDecision } from "./stream_admission.ts";

const STATUS_UNAVAILABLE = 503;

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
  /** How the end of the target's answer was marked, if it began. */
  readonly framing: BodyFraming | undefined;
  /** Bytes after the last complete event of a stream. */
  readonly unfinishedBytes: number;
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

  logRouted(): void {
    const { configuration, logger } = this.#context;
    const { requestId, service, route } = this.#options;
    logger.log("requestRouted", {
      requestId,
      service,
      route,
      version: configuration.table?.configuration.version,
      proofAgeMs: Math.round(computeProofAgeMs(configuration, readInstant())),
    });
  }

  /** Logs why a routed request is refused after all. */
  logDenied(reason: string): void {
    const { configuration, logger } = this.#context;
    logger.log("requestDenied", {
      requestId: this.#options.requestId,
      status: STATUS_UNAVAILABLE,
      reason,
      version: configuration.table?.configuration.version,
      proofAgeMs: Math.round(computeProofAgeMs(configuration, readInstant())),
    });
  }

  logAdmission(decision: AdmissionDecision): void {
    const { logger, admission } = this.#context;
    const { requestId, service } = this.#options;
    const { active, activeFromOtherEntries, capacity } = admission
      .readServiceLoad(
        service,
      );
    const load = { active, others: activeFromOtherEntries, capacity };
    if (decision.kind === "admitted") {
      const waitedMs = Math.round(decision.waitedMs);
      logger.log("streamAdmitted", { requestId, waitedMs, ...load });
      return;
    }
    const predictedWaitMs = Math.round(decision.predictedWaitMs);
    logger.log("streamRefused", { requestId, predictedWaitMs, ...load });
  }

  logQuarantined(quarantine: Quarantine): void {
    const { logger } = this.#context;
    const { requestId } = this.#options;
    const retryAfterMs = Math.round(quarantine.retryAfterMs);
    if (quarantine.kind === "promptPart") {
      const { part } = quarantine;
      logger.log("requestRefusedPromptPart", { requestId, part, retryAfterMs });
      return;
    }
    const { fingerprint } = quarantine;
    logger.log("requestRefusedCrashing", {
      requestId,
      fingerprint,
      retryAfterMs,
    });
  }

  logAttemptSent(
    target: RegisteredTarget,
    { attempt, remainingMs }: {
      readonly attempt: number;
      readonly remainingMs: number;
    },
  ): void {
    this.#context.logger.log("attemptSent", {
      requestId: this.#options.requestId,
      attempt,
      target: target.id,
      leftMs: Math.round(remainingMs),
    });
  }

  /** Logs an attempt to continue an answer that the caller has in part. */
  logContinuation(
    target: RegisteredTarget,
    { attempt, status, lastEventId }: {
      readonly attempt: number;
      readonly status: number;
      /** Event after which the target is asked to start. */
      readonly lastEventId: string | undefined;
    },
  ): void {
    const { logger, metrics } = this.#context;
    const { requestId, service } = this.#options;
    logger.log("answerContinued", {
      requestId,
      attempt,
      target: target.id,
      status,
      lastEventId,
    });
    metrics.countContinuation(service);
  }

  logAttemptFailure(
    { outcome, reason, targetAtFault }: AttemptFailure,
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
    metrics.countAttempt(service, outcome);
  }

  logRequestEnd(end: RequestEnd): void {
    const { outcome, status, attempts, target, firstByteAtMs } = end;
    const { logger, metrics } = this.#context;
    const { requestId, service, arrivedAtMs } = this.#options;
    const elapsedMs = performance.now() - arrivedAtMs;
    const firstMs = firstByteAtMs === undefined
      ? undefined
      : firstByteAtMs - arrivedAtMs;
    metrics.recordRequest({ service, outcome, firstMs, elapsedMs });
    logger.log("requestAnswered", {
      requestId,
      service,
      outcome,
      status,
      elapsedMs: Math.round(elapsedMs),
      firstMs: firstMs === undefined ? undefined : Math.round(firstMs),
      attempts,
      target,
      framing: end.framing,
      unfinishedBytes: end.unfinishedBytes,
    });
  }
}
