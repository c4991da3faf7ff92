/**
 * Handles one request of a caller from its last byte to the final answer: waits
 * for admission, sends attempts to targets, and ends the request at the route's
 * timeout or when the caller disconnects.
 */

import { computeCallerPatienceMs } from "@dandelionbank/admit-streams";
import { recordRequest, tryConsumeRetry } from "@dandelionbank/budget-retries";
import { chooseService } from "@dandelionbank/match-route";
import {
  encodeAnswerHeaders,
  encodeTargetHeaders,
} from "@dandelionbank/platform-adapter";
import {
  type AttemptOutcome,
  decideFinalAction,
  decideNextAction,
  type FinalAction,
  isRepeatable,
  type NextAction,
  type RequestProgress,
} from "@dandelionbank/decide-retries";
import type { EngineProfile, RegisteredTarget } from "@dandelionbank/types";
import { AnswerRelay } from "./answer_relay.ts";
import {
  Attempt,
  type AttemptFailure,
  type FailureResponse,
} from "./attempt.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import { CrashGuard, type Quarantine } from "./crash_guard.ts";
import { estimateExpectedRunMs, estimateMeanRunMs } from "./estimate_run.ts";
import type { ForwardContext } from "./forward_context.ts";
import { RequestLog } from "./request_log.ts";
import { computeTimeoutMs, type RoutedRequest } from "./routed_request.ts";
import { InactivityTimer } from "./inactivity_timer.ts";
import type { StopCheck } from "./stop_check.ts";
import type { AdmissionDecision } from "./stream_admission.ts";
import { TargetSelector } from "./target_selector.ts";

export interface RequestTaskOptions {
  readonly request: RoutedRequest;
  readonly answer: CallerAnswer;
  readonly stopCheck: StopCheck;
  /** Unique at this entry. */
  readonly id: string;
  /** Called once, when the request has ended. */
  readonly onEnd: (task: RequestTask) => void;
}

/** A group that lost a rank re-forms within a few hundred milliseconds. */
const REFORMING_RETRY_MS = 400;
/** `retry-after` once all targets have refused a request. */
const REFUSED_RETRY_MS = 250;

export class RequestTask {
  readonly #context: ForwardContext;
  readonly #options: RequestTaskOptions;
  readonly #request: RoutedRequest;
  readonly #answer: CallerAnswer;
  readonly #service: string;
  readonly #profile: EngineProfile | undefined;
  /** End of the route's timeout, or the caller's deadline if that is sooner. */
  readonly #deadlineAtMs: number;
  readonly #log: RequestLog;
  readonly #targets: TargetSelector;
  readonly #relay: AnswerRelay;
  readonly #inactivityTimer: InactivityTimer;
  readonly #crashGuard: CrashGuard;
  #attempt: Attempt | undefined;
  #sentAtMs = 0;
  /** Targets sent to, without those that could not be connected to. */
  #sentTargetCount = 0;
  #attemptCount = 0;
  #mayHaveRun = false;
  /** True once the target of the current attempt has begun its answer. */
  #hasAnswerBegun = false;
  #admission: "none" | "waiting" | "admitted" = "none";
  #hasEnded = false;
  #deadlineTimer: NodeJS.Timeout | undefined;
  #retryTimer: NodeJS.Timeout | undefined;

  private constructor(context: ForwardContext, options: RequestTaskOptions) {
    const { request, answer, id } = options;
    const { route, head, arrivedAtMs } = request;
    const service = chooseService(route.shares, Math.random()) ?? "";
    const { configuration } = context.configuration.table!;
    this.#context = context;
    this.#options = options;
    this.#request = request;
    this.#answer = answer;
    this.#service = service;
    this.#profile = configuration.services.get(service)?.engine;
    this.#deadlineAtMs = arrivedAtMs + computeTimeoutMs(request);
    this.#log = RequestLog.create(context, {
      requestId: head.attemptId ?? id,
      service,
      route: route.name,
      arrivedAtMs,
    });
    this.#targets = TargetSelector.create(context, { service, requestId: id });
    this.#crashGuard = CrashGuard.create(context.crashMonitor, request);
    this.#relay = AnswerRelay.create({
      answer,
      method: request.method,
      isStream: this.#isStream,
      isResumable: route.isResumable,
      lastEventId: head.lastEventId,
    });
    this.#inactivityTimer = InactivityTimer.create(context, {
      service,
      targets: this.#targets,
      isGroup: this.#profile !== undefined,
      isStream: this.#isStream,
      objectiveMs: route.objectiveMs,
      onTimeout: (inactiveMs) =>
        this.#attempt?.abort("silent", `no progress for ${inactiveMs} ms`),
    });
  }

  /** Starts the request. The caller gets an answer in every case. */
  static start(
    context: ForwardContext,
    options: RequestTaskOptions,
  ): RequestTask {
    const task = new RequestTask(context, options);
    task.#start();
    return task;
  }

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  get service(): string {
    return this.#service;
  }

  /**
   * Time since the latest attempt was sent, as a multiple of the run that was
   * expected; 0 if none was sent, or if the request tells nothing about others.
   */
  get slowdown(): number {
    const { head } = this.#request;
    const profile = this.#profile;
    if (profile === undefined || this.#attemptCount === 0) return 0;
    const expectedMs = estimateExpectedRunMs(profile, head) ?? 0;
    // A short run consists mostly of delays that a longer one has only once.
    const isShort = expectedMs <= estimateMeanRunMs(profile) / 2;
    return isShort ? 0 : (performance.now() - this.#sentAtMs) / expectedMs;
  }

  /** Cancels the request after its caller has closed the connection. */
  handleCallerDisconnect(): void {
    if (this.#hasEnded) return;
    this.#stopAttempt();
    this.#finish("abandoned", 0);
  }

  /**
   * Ends the request before its entry ends. A stream that has begun is cut; the
   * caller of a resumable one resumes it at another entry.
   */
  endForStop(): void {
    if (this.#hasEnded) return;
    const isHandedOver = this.#answer.hasBegun &&
      this.#request.route.isResumable;
    this.#endUnfinished(isHandedOver ? "handedOver" : "stopped");
  }

  /**
   * Ends the request if it is quarantined by now, unless its target has already
   * begun the answer.
   */
  endIfQuarantined(): void {
    if (this.#hasEnded || this.#hasAnswerBegun) return;
    const quarantine = this.#crashGuard.findQuarantine();
    if (quarantine === undefined) return;
    if (this.#targets.current !== undefined) this.#mayHaveRun = true;
    this.#stopAttempt();
    this.#refuseCrashing(quarantine);
  }

  get #isStream(): boolean {
    return this.#request.route.kind === "stream";
  }

  #start(): void {
    const nowMs = performance.now();
    recordRequest(this.#context.retryBudget, { service: this.#service, nowMs });
    this.#log.logRouted();
    this.#deadlineTimer = setTimeout(
      () => this.#handleTimeout(),
      Math.max(0, this.#deadlineAtMs - nowMs),
    );
    const quarantine = this.#crashGuard.findQuarantine();
    if (quarantine !== undefined) return this.#refuseCrashing(quarantine);
    const profile = this.#profile;
    if (profile === undefined || !this.#isStream) return this.#sendNext();
    this.#requestAdmission(profile);
  }

  #requestAdmission(profile: EngineProfile): void {
    const { route, arrivedAtMs, priority } = this.#request;
    const latestStartMs = this.#options.stopCheck.computeLatestStartMs(
      this.#request,
    );
    this.#admission = "waiting";
    this.#context.admission.enqueue({
      id: this.#options.id,
      service: this.#service,
      profile,
      arrivedAtMs,
      objectiveMs: route.objectiveMs,
      patienceMs: Math.min(
        this.#deadlineAtMs - arrivedAtMs,
        computeCallerPatienceMs(route),
        latestStartMs - arrivedAtMs,
      ),
      priority,
    }, (decision) => this.#handleAdmission(decision));
  }

  #handleAdmission(decision: AdmissionDecision): void {
    this.#log.logAdmission(decision);
    if (decision.kind === "refused") {
      this.#admission = "none";
      return this.#refuse("refusedFull", decision.retryAfterMs);
    }
    this.#admission = "admitted";
    this.#sendNext();
  }

  /** Sends the request to a target that was not tried before. */
  #sendNext(): void {
    const quarantine = this.#crashGuard.findQuarantine();
    if (quarantine !== undefined) return this.#refuseCrashing(quarantine);
    if (!this.#mayHaveRun && !this.#answer.hasBegun) {
      const lateness = this.#options.stopCheck.findLateness(this.#request);
      if (lateness !== undefined) return this.#refuseStopping(lateness);
    }
    const target = this.#targets.selectNext();
    if (target === undefined) {
      return this.#performFinalAction(
        decideFinalAction(this.#progress, "refused"),
      );
    }
    const nowMs = performance.now();
    const remainingMs = this.#deadlineAtMs - nowMs;
    this.#sentAtMs = nowMs;
    this.#attemptCount += 1;
    this.#sentTargetCount += 1;
    this.#hasAnswerBegun = false;
    this.#crashGuard.recordAttempt();
    this.#log.logAttemptSent(target, {
      attempt: this.#attemptCount,
      remainingMs,
    });
    if (this.#answer.hasBegun) {
      this.#log.logContinuation(target, {
        attempt: this.#attemptCount,
        status: this.#relay.status,
        lastEventId: this.#relay.lastEventId,
      });
    }
    this.#attempt = this.#send(target, remainingMs);
    this.#restartInactivityTimer();
  }

  /** Refuses a request that may not end before this entry does. */
  #refuseStopping(reason: string): void {
    this.#log.logDenied(reason);
    this.#refuse("refusedStopping", this.#options.stopCheck.retryAfterMs);
  }

  /** Refuses a request that is quarantined for crashing targets. */
  #refuseCrashing(quarantine: Quarantine): void {
    this.#log.logQuarantined(quarantine);
    const action = decideFinalAction(this.#progress, "refused");
    if (action.type !== "refuse") return this.#performFinalAction(action);
    this.#refuse("refusedCrashing", quarantine.retryAfterMs);
  }

  #send(target: RegisteredTarget, remainingMs: number): Attempt {
    const { head, method, path, fields, body, organisation, priority } =
      this.#request;
    const headers = encodeTargetHeaders(fields, {
      targetId: target.id,
      organisation,
      remainingMs,
      priority,
      lastEventId: this.#relay.lastEventId,
      bodyBytes: body.length,
    });
    return Attempt.send(this.#context.pools.getPool(target), {
      request: {
        attemptId: head.attemptId,
        method,
        path,
        headers,
        body,
        memory: this.#context.answerMemory,
      },
      listener: {
        onHead: ({ notices }) => {
          this.#crashGuard.recordTargetAlive(target.run);
          this.#targets.reportNotices({ notices, sentAtMs: this.#sentAtMs });
        },
        onSuccess: (answerHead, answerFields) => {
          const defect = this.#relay.handleHead(answerHead, answerFields);
          if (defect !== undefined) {
            this.#attempt?.abort("broken", defect);
            return;
          }
          this.#hasAnswerBegun = true;
          this.#recordProgress();
          if (answerHead.load !== undefined) {
            this.#targets.reportLoad(answerHead.load);
          }
        },
        onData: (chunk) => {
          const hasProgress = this.#relay.handleData(chunk, this.#attempt);
          const defect = this.#relay.findDataDefect();
          if (defect !== undefined) {
            this.#attempt?.abort("broken", defect);
            return;
          }
          if (!this.#isStream || !hasProgress) return;
          this.#crashGuard.recordPiece();
          this.#recordProgress();
        },
        findDefect: () => this.#relay.findDefect(),
        onComplete: () => this.#handleComplete(),
        onFailed: (failure) => this.#handleFailure(failure),
      },
    });
  }

  /** Records progress of the target, and restarts the inactivity timer. */
  #recordProgress(): void {
    this.#inactivityTimer.recordProgress();
    this.#restartInactivityTimer();
  }

  #handleComplete(): void {
    this.#stopTimers();
    this.#targets.release();
    this.#crashGuard.recordAnswer();
    this.#relay.complete();
    this.#finish("answered", this.#relay.status);
  }

  /** Ends or retries the request after a failed attempt. */
  #handleFailure(failure: AttemptFailure): void {
    const { outcome, load, failureResponse } = failure;
    const { current } = this.#targets;
    const target = current?.id;
    this.#stopTimers();
    if (current !== undefined) this.#reportTarget(failure, current);
    if (isTargetLost(outcome)) this.#targets.releaseAsLost();
    else this.#targets.release(load);
    const next = this.#decideNext(outcome);
    this.#log.logAttemptFailure(failure, {
      attempt: this.#attemptCount,
      target,
      sentAtMs: this.#sentAtMs,
      next,
    });
    if (outcome === "notSent") this.#sentTargetCount -= 1;
    else if (outcome !== "refused") this.#mayHaveRun = true;
    this.#relay.discardIncomplete();
    if (next.type !== "retry") {
      return this.#performFinalAction(next, failureResponse);
    }
    if (!isGroupReforming(failure)) return this.#sendNext();
    // Every rank refuses until the group has re-formed, which is soon.
    this.#retryTimer = setTimeout(() => this.#sendNext(), REFORMING_RETRY_MS);
  }

  /** Reports what the failed attempt shows about its target. */
  #reportTarget(
    failure: AttemptFailure,
    target: RegisteredTarget,
  ): void {
    const { pools, reportMisdirected } = this.#context;
    this.#crashGuard.recordFailure(target.run, failure);
    // The target's other connections may be dead as well.
    if (failure.outcome === "silent") pools.drainPool(target.run);
    if (failure.isMisdirected) reportMisdirected(target.run);
  }

  #decideNext(outcome: AttemptOutcome): NextAction {
    const progress = this.#progress;
    const action = decideNextAction(progress, outcome);
    if (action.type !== "retry" || outcome === "notSent") return action;
    const isInBudget = tryConsumeRetry(this.#context.retryBudget, {
      service: this.#service,
      nowMs: performance.now(),
      entryCount: this.#context.countEntries(),
    });
    return isInBudget ? action : decideFinalAction(progress, outcome);
  }

  /** Ends the request without another attempt. */
  #performFinalAction(action: FinalAction, response?: FailureResponse): void {
    switch (action.type) {
      case "passFailure":
        if (response === undefined) return this.#fail(502);
        this.#answer.sendFinal({
          status: response.status,
          headers: encodeAnswerHeaders(response.fields),
          body: response.body,
        });
        return this.#finish("targetFailed", response.status);
      case "cut":
        this.#answer.cut();
        return this.#finish("cut", this.#relay.status);
      case "refuse":
        return this.#refuse(
          "refusedByTargets",
          this.#targets.assignRetryMs() ?? REFUSED_RETRY_MS,
        );
      case "fail":
        return this.#fail(action.status);
    }
  }

  #fail(status: 502 | 504): void {
    this.#answer.sendFinal({ status });
    this.#finish("failed", status);
  }

  #refuse(outcome: string, retryAfterMs: number): void {
    this.#answer.refuse(retryAfterMs);
    this.#finish(outcome, 503);
  }

  /** Ends the request at the route's timeout or the caller's deadline. */
  #handleTimeout(): void {
    if (!this.#hasEnded) this.#endUnfinished("timedOut");
  }

  /** Ends the request although its target has not answered it completely. */
  #endUnfinished(outcome: string): void {
    const isAtTarget = this.#targets.current !== undefined;
    this.#stopAttempt();
    if (this.#answer.hasBegun) {
      this.#answer.cut();
      this.#finish(outcome, this.#relay.status);
    } else if (this.#mayHaveRun || isAtTarget) {
      this.#answer.sendFinal({ status: 504 });
      this.#finish(outcome, 504);
    } else {
      this.#refuse(`${outcome}Waiting`, REFUSED_RETRY_MS);
    }
  }

  /** Restarts the inactivity timer if the attempt may be repeated elsewhere. */
  #restartInactivityTimer(): void {
    this.#inactivityTimer.stop();
    const progress = this.#progress;
    const mayRepeat = isRepeatable(progress) &&
      progress.targetsSent < progress.maxTargets;
    // A plain answer that has begun soon completes or fails by itself.
    const isExpected = this.#isStream || !this.#hasAnswerBegun;
    if (mayRepeat && isExpected) this.#inactivityTimer.start();
  }

  #stopTimers(): void {
    this.#inactivityTimer.stop();
    clearTimeout(this.#retryTimer);
  }

  #stopAttempt(): void {
    this.#stopTimers();
    this.#attempt?.cancel();
    this.#targets.release();
  }

  #finish(outcome: string, status: number): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#stopTimers();
    clearTimeout(this.#deadlineTimer);
    const { admission } = this.#context;
    const { id, onEnd } = this.#options;
    if (this.#admission === "waiting") admission.cancel(this.#service, id);
    if (this.#admission === "admitted") admission.release(this.#service);
    this.#log.logRequestEnd({
      outcome,
      status,
      attempts: this.#attemptCount,
      target: this.#targets.lastTargetId,
      firstByteAtMs: this.#answer.firstByteAtMs,
      framing: this.#relay.framing,
      unfinishedBytes: this.#relay.unfinishedBytes,
    });
    onEnd(this);
  }

  get #progress(): RequestProgress {
    const { kind, isResumable, maxTargets } = this.#request.route;
    return {
      kind,
      isResumable: isResumable && this.#relay.isContinuable,
      maxTargets,
      targetsSent: this.#sentTargetCount,
      mayHaveRun: this.#mayHaveRun,
      hasAnswerStarted: this.#answer.hasBegun,
      remainingMs: this.#deadlineAtMs - performance.now(),
    };
  }
}

function isTargetLost(outcome: AttemptOutcome): boolean {
  return outcome === "broken" || outcome === "silent" || outcome === "notSent";
}

/**
 * Returns true if the target refused because of another rank: its whole group
 * is re-forming.
 */
function isGroupReforming(
  { outcome, targetAtFault, isMisdirected }: AttemptFailure,
): boolean {
  return outcome === "refused" && targetAtFault !== undefined && !isMisdirected;
}
