/**
 * Owns one request of a caller from its last byte to its final answer: waits
 * for its turn, sends attempts, relays the answer, and ends it at the route's
 * timeout or when the caller has left.
 */

import { noteRequest, takeRetry } from "@dandelionbank/budget-retries";
import { chooseService } from "@dandelionbank/match-route";
import { pickTarget } from "@dandelionbank/pick-target";
import {
  type AnswerHead,
  type CallerHead,
  encodeAnswerHeaders,
  encodeTargetHeaders,
  type HeaderFields,
} from "@dandelionbank/platform-adapter";
import { EventSplitter } from "@dandelionbank/read-events";
import {
  type AttemptOutcome,
  decideFinal,
  decideNext,
  hasProgressElsewhere,
  isRepeatable,
  type NextMove,
  noteProgress,
  type RequestProgress,
} from "@dandelionbank/steer-request";
import type {
  EngineProfile,
  MemberTarget,
  Route,
  TargetLoad,
} from "@dandelionbank/types";
import {
  Attempt,
  type AttemptEnd,
  type AttemptListener,
  type TargetFailure,
} from "./attempt.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { ForwardContext } from "./forward_context.ts";
import type { GateAnswer } from "./stream_gate.ts";

export interface RoutedRequest {
  readonly head: CallerHead;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  readonly route: Route;
  readonly organisation: string | undefined;
  readonly priority: number;
  readonly arrivedAtMs: number;
}

/**
 * Callers leave a stream after a gap of the longest of these: a fixed time,
 * and multiples of the objective and of the longest pause on time.
 */
const CALLER_PATIENCE_MS = 2_000;
const PATIENCE_OBJECTIVES = 4;
const PATIENCE_GAPS = 8;
/** Beyond a group's own stall, for the way there and back. */
const SILENCE_MARGIN_MS = 250;
/** A plain call that takes so many objectives is tried elsewhere. */
const SILENT_OBJECTIVES = 2;
/** A whole answer longer than this is relayed as it comes. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** A group forms anew within some hundred ms. */
const FORMING_RETRY_MS = 400;
/** When targets may take work again after all have refused. */
const REFUSED_RETRY_MS = 250;
/** Kept back from the caller's deadline for the answer's way. */
const DEADLINE_MARGIN_MS = 20;

export class RequestTask {
  readonly #context: ForwardContext;
  readonly #request: RoutedRequest;
  readonly #answer: CallerAnswer;
  readonly #id: string;
  readonly #service: string;
  readonly #profile: EngineProfile | undefined;
  readonly #endsAtMs: number;
  readonly #tried: string[] = [];
  readonly #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  #splitter: EventSplitter | undefined;
  #lastEventId: string | undefined;
  #fields: HeaderFields = {};
  #status = 0;
  #attempt: Attempt | undefined;
  #target: MemberTarget | undefined;
  #sentAtMs = 0;
  #targetsSent = 0;
  #attempts = 0;
  #mayHaveRun = false;
  #hasAnswer = false;
  #isAdmitted = false;
  #isWaiting = false;
  #isOver = false;
  #endTimer: NodeJS.Timeout | undefined;
  #silenceTimer: NodeJS.Timeout | undefined;

  private constructor(
    context: ForwardContext,
    { request, answer, service, id }: {
      readonly request: RoutedRequest;
      readonly answer: CallerAnswer;
      readonly service: string;
      readonly id: string;
    },
  ) {
    this.#context = context;
    this.#request = request;
    this.#answer = answer;
    this.#service = service;
    this.#id = id;
    const { configuration } = context.held.table!;
    this.#profile = configuration.services.get(service)?.engine;
    this.#lastEventId = request.head.lastEventId;
    this.#endsAtMs = request.arrivedAtMs + readAllowedMs(request);
  }

  /** Starts the request; the caller's answer follows in any case. */
  static start(
    context: ForwardContext,
    { request, answer, id }: {
      readonly request: RoutedRequest;
      readonly answer: CallerAnswer;
      /** Unique at this entry. */
      readonly id: string;
    },
  ): RequestTask {
    const { shares } = request.route;
    const service = chooseService(shares, Math.random()) ?? "";
    const task = new RequestTask(context, { request, answer, service, id });
    task.#begin();
    return task;
  }

  /** The caller has closed its connection. */
  abandon(): void {
    if (this.#isOver) return;
    this.#attempt?.cancel();
    this.#releaseTarget("left");
    this.#finish("abandoned", 0);
  }

  /** Ends a stream early, so that its caller can resume it elsewhere. */
  handOver(): boolean {
    const { route } = this.#request;
    if (this.#isOver || !route.isResumable) return false;
    if (!this.#answer.hasBegun) return false;
    this.#attempt?.cancel();
    this.#releaseTarget("left");
    this.#answer.cut();
    this.#finish("handedOver", this.#status);
    return true;
  }

  #begin(): void {
    const { context, request } = {
      context: this.#context,
      request: this.#request,
    };
    const nowMs = performance.now();
    const service = this.#service;
    noteRequest(context.budget, { service, nowMs });
    this.#logRouted();
    this.#endTimer = setTimeout(
      () => this.#endInTime(),
      Math.max(0, this.#endsAtMs - nowMs),
    );
    const profile = this.#profile;
    if (profile === undefined || request.route.kind !== "stream") {
      this.#sendNext();
      return;
    }
    const { objectiveMs, eventGapMs = 0 } = request.route;
    this.#isWaiting = true;
    context.gate.enter({
      id: this.#id,
      service,
      profile,
      arrivedAtMs: request.arrivedAtMs,
      objectiveMs,
      patienceMs: Math.min(
        this.#endsAtMs - request.arrivedAtMs,
        Math.max(
          CALLER_PATIENCE_MS,
          PATIENCE_OBJECTIVES * objectiveMs,
          PATIENCE_GAPS * eventGapMs,
        ),
      ),
      priority: request.priority,
    }, (answer) => this.#takeTurn(answer));
  }

  #takeTurn(answer: GateAnswer): void {
    this.#isWaiting = false;
    const { logger, gate } = this.#context;
    const { active, activeOfOthers, capacity } = gate.view(this.#service);
    const load = { active, others: activeOfOthers, capacity };
    const requestId = this.#requestId;
    if (answer.kind === "refused") {
      const predictedWaitMs = Math.round(answer.predictedWaitMs);
      logger.log("streamRefused", { requestId, predictedWaitMs, ...load });
      this.#refuse("refusedFull", answer.retryAfterMs);
      return;
    }
    this.#isAdmitted = true;
    const waitedMs = Math.round(answer.waitedMs);
    logger.log("streamAdmitted", { requestId, waitedMs, ...load });
    this.#sendNext();
  }

  /** Sends the request to a target that it was not sent to before. */
  #sendNext(): void {
    const target = this.#pick();
    if (target === undefined) {
      this.#conclude("refused", undefined);
      return;
    }
    const nowMs = performance.now();
    const leftMs = this.#endsAtMs - nowMs;
    this.#target = target;
    this.#sentAtMs = nowMs;
    this.#attempts += 1;
    this.#targetsSent += 1;
    this.#hasAnswer = false;
    this.#context.logger.log("attemptSent", {
      requestId: this.#requestId,
      attempt: this.#attempts,
      target: target.id,
      leftMs: Math.round(leftMs),
    });
    const { head, method, path, fields, body, organisation, priority } =
      this.#request;
    this.#attempt = Attempt.send(this.#context.pools.open(target), {
      request: {
        attemptId: head.attemptId,
        method,
        path,
        body,
        headers: encodeTargetHeaders(fields, {
          targetId: target.id,
          organisation,
          leftMs,
          priority,
          lastEventId: this.#lastEventId,
          bodyBytes: body.length,
        }),
      },
      listener: this.#createListener(),
    });
    this.#watchSilence();
  }

  #pick(): MemberTarget | undefined {
    const { effects } = pickTarget(this.#context.placement, {
      type: "pickWanted",
      attemptId: this.#placementId,
      pool: this.#service,
      exclude: this.#tried,
    }, performance.now());
    const effect = effects[0];
    if (effect?.type !== "picked") return undefined;
    this.#tried.push(effect.target);
    const target = this.#context.findTarget(effect.target);
    if (target === undefined) this.#releasePick(undefined, "lost");
    return target;
  }

  #createListener(): AttemptListener {
    return {
      onSuccess: (head, fields) => this.#takeHead(head, fields),
      onData: (chunk) => this.#takeData(chunk),
      onWhole: () => this.#takeWhole(),
      onEnded: (end) => this.#takeFailure(end),
    };
  }

  #takeHead(head: AnswerHead, fields: HeaderFields): void {
    this.#hasAnswer = true;
    this.#noteProgress();
    this.#watchSilence();
    if (head.load !== undefined && this.#target !== undefined) {
      pickTarget(this.#context.placement, {
        type: "loadReported",
        target: this.#target.id,
        load: head.load,
      }, performance.now());
    }
    // A resumed stream keeps the head of its first target.
    if (this.#answer.hasBegun) return;
    this.#fields = fields;
    this.#status = head.status;
    if (this.#request.route.kind !== "stream") return;
    this.#answer.begin(head.status, encodeAnswerHeaders(fields));
  }

  #takeData(chunk: Buffer): void {
    if (this.#request.route.kind === "stream") {
      this.#relayEvents(chunk);
      return;
    }
    if (this.#answer.hasBegun) {
      this.#relay(chunk);
      return;
    }
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    if (this.#bufferedBytes <= MAX_BUFFERED_BYTES) return;
    this.#answer.begin(this.#status, encodeAnswerHeaders(this.#fields));
    for (const buffered of this.#chunks.splice(0)) this.#relay(buffered);
  }

  #relayEvents(chunk: Buffer): void {
    this.#splitter ??= EventSplitter.create();
    const events = this.#splitter.push(chunk);
    if (events === undefined) return;
    this.#noteProgress();
    this.#watchSilence();
    this.#lastEventId = events.lastId ?? this.#lastEventId;
    this.#relay(events.bytes);
  }

  #relay(bytes: Buffer): void {
    const attempt = this.#attempt;
    if (this.#answer.write(bytes)) return;
    attempt?.pause();
    this.#answer.onDrained(() => attempt?.resume());
  }

  #takeWhole(): void {
    const splitter = this.#splitter;
    this.#releaseTarget("replied");
    if (this.#request.route.kind === "stream") {
      // Bytes after the last event belong to the whole answer.
      if (splitter !== undefined && splitter.pending.length > 0) {
        this.#answer.write(splitter.pending);
      }
      this.#answer.end();
    } else if (this.#answer.hasBegun) {
      this.#answer.end();
    } else {
      this.#answer.finish({
        status: this.#status,
        headers: encodeAnswerHeaders(this.#fields),
        body: Buffer.concat(this.#chunks),
      });
    }
    this.#finish("answered", this.#status);
  }

  #takeFailure(end: AttemptEnd): void {
    const { outcome, reason, load, failure, targetAtFault } = end;
    const target = this.#target?.id;
    if (outcome === "silent" && target !== undefined) {
      // Its other connections may be as dead.
      this.#context.pools.renew(target);
    }
    if (end.isMisdirected && target !== undefined) {
      this.#context.noteMisdirected(target);
    }
    const isLoss = outcome === "broken" || outcome === "silent" ||
      outcome === "notSent";
    this.#releaseTarget(isLoss ? "lost" : "replied", load);
    const wasAtFault = targetAtFault === undefined || targetAtFault === target;
    const move = this.#steer(outcome);
    this.#context.logger.log("attemptFailed", {
      requestId: this.#requestId,
      attempt: this.#attempts,
      target,
      result: outcome,
      elapsedMs: Math.round(performance.now() - this.#sentAtMs),
      reason: wasAtFault ? reason : `${reason}, fault of ${targetAtFault}`,
      next: move.type,
    });
    this.#context.metrics.noteAttempt(this.#service, outcome);
    if (outcome === "notSent") this.#targetsSent -= 1;
    if (outcome !== "notSent" && outcome !== "refused") this.#mayHaveRun = true;
    this.#splitter = undefined;
    this.#chunks.length = 0;
    this.#bufferedBytes = 0;
    if (move.type !== "retry") return this.#perform(move, failure);
    if (!this.#isGroupForming(end)) return this.#sendNext();
    // The whole group refuses until it has formed; soon another rank won't.
    clearTimeout(this.#silenceTimer);
    this.#silenceTimer = setTimeout(() => this.#sendNext(), FORMING_RETRY_MS);
  }

  /** A rank that refuses because of another one speaks for its whole group. */
  #isGroupForming(
    { outcome, targetAtFault, isMisdirected }: AttemptEnd,
  ): boolean {
    return outcome === "refused" && targetAtFault !== undefined &&
      !isMisdirected;
  }

  #steer(outcome: AttemptOutcome): NextMove {
    const progress = this.#progress;
    const move = decideNext(progress, outcome);
    if (move.type !== "retry" || outcome === "notSent") return move;
    const isInBudget = takeRetry(this.#context.budget, {
      service: this.#service,
      nowMs: performance.now(),
      entryCount: this.#context.countEntries(),
    });
    return isInBudget ? move : decideFinal(progress, outcome);
  }

  /** Ends the request without a further attempt. */
  #conclude(outcome: AttemptOutcome, failure: TargetFailure | undefined): void {
    this.#perform(decideFinal(this.#progress, outcome), failure);
  }

  #perform(move: NextMove, failure: TargetFailure | undefined): void {
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
        return this.#finish("cut", this.#status);
      case "refuse":
        return this.#refuse("refusedByTargets", REFUSED_RETRY_MS);
      case "fail":
        return this.#fail(move.status);
      case "retry":
        return this.#sendNext();
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
    const mayHaveRun = this.#mayHaveRun || this.#target !== undefined;
    this.#attempt?.cancel();
    this.#releaseTarget("left");
    if (this.#answer.hasBegun) {
      this.#answer.cut();
      this.#finish("timedOut", this.#status);
    } else if (mayHaveRun) {
      this.#answer.finish({ status: 504 });
      this.#finish("timedOut", 504);
    } else {
      this.#refuse("timedOutWaiting", REFUSED_RETRY_MS);
    }
  }

  /** Gives an attempt up that shows no sign of life, if it may be repeated. */
  #watchSilence(): void {
    clearTimeout(this.#silenceTimer);
    const { route } = this.#request;
    if (!isRepeatable(route)) return;
    const silenceMs = route.kind === "stream"
      ? this.#context.stallMs + SILENCE_MARGIN_MS
      : SILENT_OBJECTIVES * route.objectiveMs;
    if (route.kind !== "stream" && this.#hasAnswer) return;
    if (this.#targetsSent >= route.maxTargets) return;
    this.#silenceTimer = setTimeout(
      () => this.#giveUpSilent(silenceMs),
      silenceMs,
    );
  }

  /** Waits on where no other target could serve the request sooner. */
  #giveUpSilent(silenceMs: number): void {
    const { hasOtherTarget, progress } = this.#context;
    if (!hasOtherTarget(this.#service, this.#tried)) return;
    const isStalled = this.#profile !== undefined &&
      !hasProgressElsewhere(progress, {
        service: this.#service,
        target: this.#target?.id ?? "",
        sinceMs: performance.now() - silenceMs / 2,
      });
    if (isStalled) {
      this.#watchSilence();
      return;
    }
    this.#attempt?.giveUp("silent", `nothing for ${silenceMs} ms`);
  }

  #noteProgress(): void {
    const target = this.#target?.id;
    if (target === undefined) return;
    noteProgress(this.#context.progress, {
      service: this.#service,
      target,
      nowMs: performance.now(),
    });
  }

  #releaseTarget(how: "replied" | "lost" | "left", load?: TargetLoad): void {
    clearTimeout(this.#silenceTimer);
    if (this.#target === undefined) return;
    this.#target = undefined;
    this.#releasePick(load, how);
  }

  #releasePick(
    load: TargetLoad | undefined,
    how: "replied" | "lost" | "left",
  ): void {
    const attemptId = this.#placementId;
    const event = how === "lost"
      ? { type: "targetLost" as const, attemptId }
      : {
        type: "targetReplied" as const,
        attemptId,
        ...(load === undefined ? {} : { load }),
      };
    pickTarget(this.#context.placement, event, performance.now());
  }

  #finish(outcome: string, status: number): void {
    if (this.#isOver) return;
    this.#isOver = true;
    clearTimeout(this.#endTimer);
    clearTimeout(this.#silenceTimer);
    const { gate, metrics, logger } = this.#context;
    if (this.#isWaiting) gate.cancel(this.#service, this.#id);
    if (this.#isAdmitted) gate.leave(this.#service);
    const { arrivedAtMs } = this.#request;
    const elapsedMs = performance.now() - arrivedAtMs;
    const { firstByteAtMs } = this.#answer;
    const firstMs = firstByteAtMs === undefined
      ? undefined
      : firstByteAtMs - arrivedAtMs;
    metrics.noteRequest({
      service: this.#service,
      outcome,
      firstMs,
      elapsedMs,
    });
    logger.log("requestAnswered", {
      requestId: this.#requestId,
      service: this.#service,
      outcome,
      status,
      elapsedMs: Math.round(elapsedMs),
      firstMs: firstMs === undefined ? undefined : Math.round(firstMs),
      attempts: this.#attempts,
      target: this.#tried.at(-1),
    });
    this.#onOver?.();
  }

  #onOver: (() => void) | undefined;

  /** Called once, when the request is over. */
  onOver(listener: () => void): void {
    this.#onOver = listener;
    if (this.#isOver) listener();
  }

  #logRouted(): void {
    const { held, logger } = this.#context;
    logger.log("requestRouted", {
      requestId: this.#requestId,
      service: this.#service,
      route: this.#request.route.name,
      version: held.table?.configuration.version,
      proofAgeMs: Math.round(
        performance.now() - (held.provenAt?.steadyMs ?? 0),
      ),
    });
  }

  get #progress(): RequestProgress {
    const { kind, isResumable, maxTargets } = this.#request.route;
    return {
      kind,
      isResumable,
      maxTargets,
      targetsSent: this.#targetsSent,
      mayHaveRun: this.#mayHaveRun,
      hasBegun: this.#answer.hasBegun,
      leftMs: this.#endsAtMs - performance.now(),
    };
  }

  get #requestId(): string {
    return this.#request.head.attemptId ?? this.#id;
  }

  get #placementId(): string {
    return `${this.#id}/${this.#tried.length}`;
  }
}

/** The route's timeout, or the caller's own deadline if that is sooner. */
function readAllowedMs({ route, head }: RoutedRequest): number {
  const { deadlineMs = Number.POSITIVE_INFINITY } = head;
  return Math.min(route.timeoutMs, deadlineMs - DEADLINE_MARGIN_MS);
}
