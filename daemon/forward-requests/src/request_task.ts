/**
 * Owns one request of a caller from its last byte to its final answer: waits
 * for its turn, sends attempts, and ends it at the route's timeout or when the
 * caller has left.
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
import { Attempt, type AttemptEnd, type TargetFailure } from "./attempt.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import { CrashGuard } from "./crash_guard.ts";
import type { ForwardContext } from "./forward_context.ts";
import { RequestLog } from "./request_log.ts";
import { readAllowedMs, type RoutedRequest } from "./routed_request.ts";
import { SilenceWatch } from "./silence_watch.ts";
import type { GateAnswer } from "./stream_gate.ts";
import { TargetChoice } from "./target_choice.ts";

export interface RequestTaskOptions {
  readonly request: RoutedRequest;
  readonly answer: CallerAnswer;
  /** Unique at this entry. */
  readonly id: string;
  /** Called once, when the request is over. */
  readonly onOver: (task: RequestTask) => void;
}

/** A group forms anew within some hundred ms. */
const FORMING_RETRY_MS = 400;
/** When targets may take work again after all have refused. */
const REFUSED_RETRY_MS = 250;

export class RequestTask {
  readonly #context: ForwardContext;
  readonly #options: RequestTaskOptions;
  readonly #request: RoutedRequest;
  readonly #answer: CallerAnswer;
  readonly #service: string;
  readonly #profile: EngineProfile | undefined;
  readonly #endsAtMs: number;
  readonly #log: RequestLog;
  readonly #targets: TargetChoice;
  readonly #relay: AnswerRelay;
  readonly #silence: SilenceWatch;
  readonly #crashGuard: CrashGuard;
  #attempt: Attempt | undefined;
  #sentAtMs = 0;
  #targetsSent = 0;
  #attempts = 0;
  #mayHaveRun = false;
  #hasAnswer = false;
  #turn: "none" | "waiting" | "admitted" = "none";
  #isOver = false;
  #endTimer: NodeJS.Timeout | undefined;
  #retryTimer: NodeJS.Timeout | undefined;

  private constructor(context: ForwardContext, options: RequestTaskOptions) {
    const { request, answer, id } = options;
    const { route, head, arrivedAtMs } = request;
    const service = chooseService(route.shares, Math.random()) ?? "";
    const { configuration } = context.held.table!;
    this.#context = context;
    this.#options = options;
    this.#request = request;
    this.#answer = answer;
    this.#service = service;
    this.#profile = configuration.services.get(service)?.engine;
    this.#endsAtMs = arrivedAtMs + readAllowedMs(request);
    this.#log = RequestLog.create(context, {
      requestId: head.attemptId ?? id,
      service,
      route: route.name,
      arrivedAtMs,
    });
    this.#targets = TargetChoice.create(context, { service, requestId: id });
    this.#crashGuard = CrashGuard.create(context.crashes, request);
    this.#relay = AnswerRelay.create({
      answer,
      isStream: this.#isStream,
      lastEventId: head.lastEventId,
    });
    this.#silence = SilenceWatch.create(context, {
      service,
      targets: this.#targets,
      isGroup: this.#profile !== undefined,
      isStream: this.#isStream,
      objectiveMs: route.objectiveMs,
      onSilent: (silenceMs) =>
        this.#attempt?.giveUp("silent", `nothing for ${silenceMs} ms`),
    });
  }

  /** Starts the request; the caller's answer follows in any case. */
  static start(
    context: ForwardContext,
    options: RequestTaskOptions,
  ): RequestTask {
    const task = new RequestTask(context, options);
    task.#begin();
    return task;
  }

  get isOver(): boolean {
    return this.#isOver;
  }

  /** The caller has closed its connection. */
  abandon(): void {
    if (this.#isOver) return;
    this.#stopAttempt();
    this.#finish("abandoned", 0);
  }

  /** Ends a stream early, so that its caller can resume it elsewhere. */
  handOver(): void {
    const { route } = this.#request;
    if (this.#isOver || !route.isResumable || !this.#answer.hasBegun) return;
    this.#stopAttempt();
    this.#answer.cut();
    this.#finish("handedOver", this.#relay.status);
  }

  get #isStream(): boolean {
    return this.#request.route.kind === "stream";
  }

  #begin(): void {
    const nowMs = performance.now();
    recordRequest(this.#context.budget, { service: this.#service, nowMs });
    this.#log.noteRouted();
    this.#endTimer = setTimeout(
      () => this.#endInTime(),
      Math.max(0, this.#endsAtMs - nowMs),
    );
    const profile = this.#profile;
    if (profile === undefined || !this.#isStream) return this.#sendNext();
    this.#waitForTurn(profile);
  }

  #waitForTurn(profile: EngineProfile): void {
    const { route, arrivedAtMs, priority } = this.#request;
    this.#turn = "waiting";
    this.#context.gate.enter({
      id: this.#options.id,
      service: this.#service,
      profile,
      arrivedAtMs,
      objectiveMs: route.objectiveMs,
      patienceMs: Math.min(
        this.#endsAtMs - arrivedAtMs,
        computeCallerPatienceMs(route),
      ),
      priority,
    }, (answer) => this.#takeTurn(answer));
  }

  #takeTurn(answer: GateAnswer): void {
    this.#log.noteTurn(answer);
    if (answer.kind === "refused") {
      this.#turn = "none";
      return this.#refuse("refusedFull", answer.retryAfterMs);
    }
    this.#turn = "admitted";
    this.#sendNext();
  }

  /** Sends the request to a target that it was not sent to before. */
  #sendNext(): void {
    const { refusedForMs } = this.#crashGuard;
    if (refusedForMs !== undefined) return this.#refuseCrashing(refusedForMs);
    const target = this.#targets.next();
    if (target === undefined) {
      return this.#end(decideFinalAction(this.#progress, "refused"));
    }
    const nowMs = performance.now();
    const leftMs = this.#endsAtMs - nowMs;
    this.#sentAtMs = nowMs;
    this.#attempts += 1;
    this.#targetsSent += 1;
    this.#hasAnswer = false;
    this.#log.noteSent(target, { attempt: this.#attempts, leftMs });
    this.#attempt = this.#send(target, leftMs);
    this.#watchSilence();
  }

  /** Ends a request that has crashed targets, instead of sending it again. */
  #refuseCrashing(retryAfterMs: number): void {
    const { fingerprint } = this.#crashGuard;
    this.#log.noteQuarantined({ fingerprint, retryAfterMs });
    const move = decideFinalAction(this.#progress, "refused");
    if (move.type !== "refuse") return this.#end(move);
    this.#refuse("refusedCrashing", retryAfterMs);
  }

  #send(target: RegisteredTarget, leftMs: number): Attempt {
    const { head, method, path, fields, body, organisation, priority } =
      this.#request;
    const headers = encodeTargetHeaders(fields, {
      targetId: target.id,
      organisation,
      leftMs,
      priority,
      lastEventId: this.#relay.lastEventId,
      bodyBytes: body.length,
    });
    return Attempt.send(this.#context.pools.open(target), {
      request: { attemptId: head.attemptId, method, path, headers, body },
      listener: {
        onSuccess: (answerHead, answerFields) => {
          this.#hasAnswer = true;
          this.#noteLife();
          if (answerHead.load !== undefined) {
            this.#targets.noteLoad(answerHead.load);
          }
          this.#relay.takeHead(answerHead, answerFields);
        },
        onData: (chunk) => {
          const isFurther = this.#relay.takeData(chunk, this.#attempt);
          if (this.#isStream && isFurther) this.#noteLife();
        },
        onWhole: () => this.#takeWhole(),
        onEnded: (end) => this.#takeEnd(end),
      },
    });
  }

  #noteLife(): void {
    this.#silence.noteProgress();
    this.#watchSilence();
  }

  #takeWhole(): void {
    this.#stopWatching();
    this.#targets.release();
    this.#crashGuard.noteAnswered();
    this.#relay.finish();
    this.#finish("answered", this.#relay.status);
  }

  /** An attempt has brought no whole success. */
  #takeEnd(end: AttemptEnd): void {
    const { outcome, load, failure } = end;
    const target = this.#targets.current?.id;
    this.#stopWatching();
    this.#noteTarget(end, target);
    if (isLoss(outcome)) this.#targets.releaseLost();
    else this.#targets.release(load);
    const next = this.#steer(outcome);
    this.#log.noteAttemptEnd(end, {
      attempt: this.#attempts,
      target,
      sentAtMs: this.#sentAtMs,
      next,
    });
    if (outcome === "notSent") this.#targetsSent -= 1;
    else if (outcome !== "refused") this.#mayHaveRun = true;
    this.#relay.reset();
    if (next.type !== "retry") return this.#end(next, failure);
    if (!isGroupForming(end)) return this.#sendNext();
    // The whole group refuses until it has formed; soon another rank won't.
    this.#retryTimer = setTimeout(() => this.#sendNext(), FORMING_RETRY_MS);
  }

  /** What the end of an attempt says of the target itself. */
  #noteTarget(
    { outcome, isMisdirected }: AttemptEnd,
    target: string | undefined,
  ): void {
    if (target === undefined) return;
    const { pools, noteMisdirected } = this.#context;
    this.#crashGuard.noteEnd(target, outcome);
    // Its other connections may be as dead.
    if (outcome === "silent") pools.renew(target);
    if (isMisdirected) noteMisdirected(target);
  }

  #steer(outcome: AttemptOutcome): NextAction {
    const progress = this.#progress;
    const move = decideNextAction(progress, outcome);
    if (move.type !== "retry" || outcome === "notSent") return move;
    const isInBudget = tryConsumeRetry(this.#context.budget, {
      service: this.#service,
      nowMs: performance.now(),
      entryCount: this.#context.countEntries(),
    });
    return isInBudget ? move : decideFinalAction(progress, outcome);
  }

  /** Ends the request without a further attempt. */
  #end(move: FinalAction, failure?: TargetFailure): void {
    switch (move.type) {
      case "passFailure":
        if (failure === undefined) return this.#fail(502);
        this.#answer.finish({
          status: failure.status,
          headers: encodeAnswerHeaders(failure.fields),
          body: failure.body,
        });
        return this.#finish("targetFailed", failure.status);
      case "cut":
        this.#answer.cut();
        return this.#finish("cut", this.#relay.status);
      case "refuse":
        return this.#refuse("refusedByTargets", REFUSED_RETRY_MS);
      case "fail":
        return this.#fail(move.status);
    }
  }

  #fail(status: 502 | 504): void {
    this.#answer.finish({ status });
    this.#finish("failed", status);
  }

  #refuse(outcome: string, retryAfterMs: number): void {
    this.#answer.refuse(retryAfterMs);
    this.#finish(outcome, 503);
  }

  /** The route's timeout or the caller's deadline is reached. */
  #endInTime(): void {
    if (this.#isOver) return;
    const isAtTarget = this.#targets.current !== undefined;
    this.#stopAttempt();
    if (this.#answer.hasBegun) {
      this.#answer.cut();
      this.#finish("timedOut", this.#relay.status);
    } else if (this.#mayHaveRun || isAtTarget) {
      this.#answer.finish({ status: 504 });
      this.#finish("timedOut", 504);
    } else {
      this.#refuse("timedOutWaiting", REFUSED_RETRY_MS);
    }
  }

  /** Watches an attempt that may be repeated elsewhere. */
  #watchSilence(): void {
    this.#silence.stop();
    const { route } = this.#request;
    const mayRepeat = isRepeatable(route) &&
      this.#targetsSent < route.maxTargets;
    // A plain answer that has begun comes whole soon, or breaks.
    const isExpected = this.#isStream || !this.#hasAnswer;
    if (mayRepeat && isExpected) this.#silence.start();
  }

  #stopWatching(): void {
    this.#silence.stop();
    clearTimeout(this.#retryTimer);
  }

  #stopAttempt(): void {
    this.#stopWatching();
    this.#attempt?.cancel();
    this.#targets.release();
  }

  #finish(outcome: string, status: number): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#stopWatching();
    clearTimeout(this.#endTimer);
    const { gate } = this.#context;
    const { id, onOver } = this.#options;
    if (this.#turn === "waiting") gate.cancel(this.#service, id);
    if (this.#turn === "admitted") gate.leave(this.#service);
    this.#log.noteEnd({
      outcome,
      status,
      attempts: this.#attempts,
      target: this.#targets.lastId,
      firstByteAtMs: this.#answer.firstByteAtMs,
    });
    onOver(this);
  }

  get #progress(): RequestProgress {
    const { kind, isResumable, maxTargets } = this.#request.route;
    return {
      kind,
      isResumable,
      maxTargets,
      targetsSent: this.#targetsSent,
      mayHaveRun: this.#mayHaveRun,
      hasAnswerStarted: this.#answer.hasBegun,
      remainingMs: this.#endsAtMs - performance.now(),
    };
  }
}

function isLoss(outcome: AttemptOutcome): boolean {
  return outcome === "broken" || outcome === "silent" || outcome === "notSent";
}

/** A rank that refuses because of another one speaks for its whole group. */
function isGroupForming(
  { outcome, targetAtFault, isMisdirected }: AttemptEnd,
): boolean {
  return outcome === "refused" && targetAtFault !== undefined && !isMisdirected;
}
