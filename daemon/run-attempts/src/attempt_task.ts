/**
 * Runs an agent's attempts. The admission core (`admit-attempts`) decides whether
 * an attempt runs, joins a running one, gets a kept answer or is refused; this
 * task carries out its effects, calls the target and keeps the answers.
 */

import {
  type AdmitEffect,
  type AdmitEvent,
  type AdmitOptions,
  type AdmitState,
  type AnswerKeys,
  createAdmitState,
  readFigures,
  step,
  type StopReason,
} from "@dandelionbank/admit-attempts";
import type { TargetAdapter, TargetHead } from "@dandelionbank/call-target";
import { digestKey } from "@dandelionbank/digest-bodies";
import { AnswerLog } from "@dandelionbank/keep-answers";
import type { Logger } from "@dandelionbank/log-events";
import { CoreRunner } from "@dandelionbank/run-core";
import type {
  AttemptRequest,
  AttemptResponder,
} from "@dandelionbank/serve-peers";
import type {
  AgentView,
  AttemptMessage,
  AttemptQuery,
  TargetLoad,
} from "@dandelionbank/types";
import { randomUUID } from "node:crypto";
import type { AttemptMetrics } from "./attempt_metrics.ts";
import { type AttemptRun, startAttemptRun } from "./attempt_run.ts";
import { AttemptReader } from "./attempt_reader.ts";

const TICK_MS = 100;

/** Heartbeats sent within one progress timeout. */
const HEARTBEATS_PER_TIMEOUT = 3;
const DEFAULT_PROGRESS_TIMEOUT_MS = 2_000;
const MS_PER_S = 1_000;
/** Bounds the log line, whatever a target sends. */
const MAX_VALUE_LENGTH = 64;

export interface AttemptTaskOptions {
  readonly admission: AdmitOptions;
  readonly adapter: TargetAdapter;
  readonly logger: Logger;
  readonly metrics: AttemptMetrics;
  /** Reads a monotonic clock, in milliseconds. */
  readonly readNowMs: () => number;
}

/** An attempt that the admission core has not decided on yet. */
interface PendingAttempt {
  readonly request: AttemptRequest;
  readonly responder: AttemptResponder;
}

export class AttemptTask {
  readonly #options: AttemptTaskOptions;
  readonly #runner: CoreRunner<AdmitState, AdmitEvent, AdmitEffect>;
  readonly #pendingAttempts = new Map<string, PendingAttempt>();
  readonly #readers = new Map<string, AttemptReader>();
  readonly #logs = new Map<string, AnswerLog>();
  readonly #runs = new Map<string, AttemptRun>();
  readonly #keyQueries = new Map<string, (answer: AnswerKeys) => void>();
  readonly #timer: NodeJS.Timeout;
  #drainListeners: (() => void)[] = [];
  #progressTimeoutMs = DEFAULT_PROGRESS_TIMEOUT_MS;
  #viewRevision = 0;

  private constructor(options: AttemptTaskOptions) {
    this.#options = options;
    this.#runner = CoreRunner.create({
      initial: createAdmitState(options.admission),
      step,
      perform: (effect) => this.#perform(effect),
      readNowMs: options.readNowMs,
    });
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  static create(options: AttemptTaskOptions): AttemptTask {
    return new AttemptTask(options);
  }

  get viewRevision(): number {
    return this.#viewRevision;
  }

  get isDraining(): boolean {
    return readFigures(this.#runner.state).stopping;
  }

  readLoad(): TargetLoad {
    const { running } = readFigures(this.#runner.state);
    return { inFlight: running, queued: 0, cachedTokens: 0 };
  }

  /** Opens admission, with the incarnations that were closed when the agent registered. */
  openAdmission(closedIncarnations: readonly string[]): void {
    this.#runner.post({
      type: "closingsRead",
      incarnations: closedIncarnations,
    });
  }

  handleMessage(request: AttemptRequest, responder: AttemptResponder): void {
    const { message } = request;
    // Relays go to entries only. Closing without a frame makes the sender query again.
    if (message.kind === "relay") return responder.end();
    const attemptId = attemptIdOf(message);
    this.#pendingAttempts.set(attemptId, { request, responder });
    this.#runner.post(toEvent(message));
  }

  /** Applies a view pushed by an entry. An older view only adds closed incarnations. */
  applyView(view: AgentView): void {
    for (const { incarnation } of view.closings) {
      this.#runner.post({ type: "incarnationClosed", incarnation });
    }
    if (view.revision < this.#viewRevision) return;
    this.#viewRevision = view.revision;
    this.#progressTimeoutMs = view.progressTimeoutMs;
    this.#setStop("plannedStop", view.stop !== undefined);
    this.#setStop("leavingList", view.isLeaving);
  }

  /** Stops admitting attempts; resolves when no attempt is running. */
  drain(reason: StopReason): Promise<void> {
    return new Promise((resolve) => {
      this.#drainListeners.push(resolve);
      this.#setStop(reason, true);
      if (readFigures(this.#runner.state).running === 0) this.#notifyDrained();
    });
  }

  /** Returns what this agent knows of the keys of closed incarnations. */
  askKeys(incarnations: readonly string[]): Promise<AnswerKeys> {
    const askId = randomUUID();
    return new Promise((resolve) => {
      this.#keyQueries.set(askId, resolve);
      this.#runner.post({ type: "keysRequested", askId, incarnations });
    });
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#runner.stop();
  }

  #perform(effect: AdmitEffect): void {
    switch (effect.type) {
      case "run":
        return this.#run(effect.attemptId);
      case "join":
      case "replay":
        this.#options.metrics.countResult("repeated");
        return this.#attach(effect.attemptId, effect.answeredBy);
      case "refuse":
        return this.#refuse(effect);
      case "fail":
        return this.#fail(effect);
      case "evict":
        this.#logs.delete(effect.attemptId);
        return;
      case "cancel":
        this.#runs.get(effect.attemptId)?.cancel();
        return;
      case "answerKeys":
        this.#keyQueries.get(effect.askId)?.(effect);
        this.#keyQueries.delete(effect.askId);
        return;
      case "drained":
        return this.#notifyDrained();
      case "violation":
        this.#options.metrics.countViolation(effect.invariant);
        this.#options.logger.log("invariantViolated", {
          invariant: effect.invariant,
          detail: effect.detail,
        });
        return;
    }
  }

  #run(attemptId: string): void {
    const attempt = this.#pendingAttempts.get(attemptId);
    if (attempt?.request.message.kind !== "attempt") return;
    const { head } = attempt.request.message;
    const log = AnswerLog.create(attemptId, this.#options.readNowMs());
    this.#logs.set(attemptId, log);
    this.#attach(attemptId, attemptId);
    const run = startAttemptRun({
      head,
      body: attempt.request.body,
      log,
      adapter: this.#options.adapter,
      readNowMs: this.#options.readNowMs,
      onHead: (answerHead) => this.#recordHead(attemptId, answerHead),
      onComplete: () => this.#endRun(log),
      onFailure: (failure) => this.#failRun(log, failure),
    });
    if (!log.isEnded) this.#runs.set(attemptId, run);
    this.#options.metrics.setInFlight(this.readLoad().inFlight);
  }

  #recordHead(attemptId: string, { retryAfter }: TargetHead): void {
    const { logger } = this.#options;
    const pauseMs = readPauseMs(retryAfter);
    this.#runner.post({
      type: "answerBegan",
      attemptId,
      ...(pauseMs === undefined ? {} : { pauseMs }),
    });
    if (pauseMs !== undefined) {
      logger.log("targetPaused", { attemptId, pauseMs });
    } else if (retryAfter !== undefined) {
      const value = retryAfter.slice(0, MAX_VALUE_LENGTH);
      logger.log("targetPauseRejected", { attemptId, value });
    }
  }

  #endRun(log: AnswerLog): void {
    const { attemptId, lengthBytes: answerBytes } = log;
    this.#runs.delete(attemptId);
    this.#runner.post({ type: "runEnded", attemptId, answerBytes });
    log.end(this.readLoad());
    this.#countEnd(attemptId, "answered");
  }

  #failRun(
    log: AnswerLog,
    failure: { readonly code: string; readonly mayHaveRun: boolean },
  ): void {
    const { attemptId } = log;
    const { code, mayHaveRun } = failure;
    this.#runs.delete(attemptId);
    this.#runner.post({ type: "runFailed", attemptId, mayHaveRun });
    log.fail(code, { mayHaveRun, load: this.readLoad() });
    this.#logs.delete(attemptId);
    this.#countEnd(attemptId, "failed", code);
  }

  #countEnd(
    attemptId: string,
    result: "answered" | "failed",
    code?: string,
  ): void {
    const { metrics, logger } = this.#options;
    metrics.countResult(result, code);
    metrics.setInFlight(this.readLoad().inFlight);
    logger.log("attemptEnded", { attemptId, result, code });
  }

  /** Sends the waiting entry the answer of the attempt `answeredBy`. */
  #attach(attemptId: string, answeredBy: string): void {
    const responder = this.#takeResponder(attemptId);
    const log = this.#logs.get(answeredBy);
    if (responder === undefined) return;
    if (log === undefined) {
      return this.#sendFailure(responder, {
        attemptId,
        code: "answerNotKept",
      });
    }
    const reader = AttemptReader.create(attemptId, responder);
    this.#readers.set(attemptId, reader);
    responder.onDrained(() => this.#runs.get(answeredBy)?.resume());
    responder.onAbandoned(() => this.#detach(reader, log));
    log.addReader(reader);
    this.#runs.get(answeredBy)?.resume();
  }

  #detach(reader: AttemptReader, log: AnswerLog): void {
    log.removeReader(reader);
    const { attemptId } = reader;
    if (this.#readers.get(attemptId) !== reader) return;
    this.#readers.delete(attemptId);
    const answeredBy = log.attemptId;
    // The run may have been paused for this reader only.
    this.#runs.get(answeredBy)?.resume();
    this.#runner.post({ type: "listenerDisconnected", attemptId, answeredBy });
  }

  #refuse(refusal: {
    readonly attemptId: string;
    readonly code: string;
    readonly retryAfterMs: number;
  }): void {
    const responder = this.#takeResponder(refusal.attemptId);
    this.#options.metrics.countResult("refused", refusal.code);
    responder?.send({
      type: "refused",
      attemptId: refusal.attemptId,
      code: refusal.code,
      retryAfterMs: refusal.retryAfterMs,
      load: this.readLoad(),
    });
    responder?.end();
  }

  #fail(failure: { readonly attemptId: string; readonly code: string }): void {
    const responder = this.#takeResponder(failure.attemptId);
    if (responder !== undefined) this.#sendFailure(responder, failure);
  }

  #sendFailure(
    responder: AttemptResponder,
    failure: { readonly attemptId: string; readonly code: string },
  ): void {
    this.#options.metrics.countResult("failed", failure.code);
    responder.send({
      type: "failed",
      ...failure,
      mayHaveRun: true,
      load: this.readLoad(),
    });
    responder.end();
  }

  #takeResponder(attemptId: string): AttemptResponder | undefined {
    const attempt = this.#pendingAttempts.get(attemptId);
    this.#pendingAttempts.delete(attemptId);
    return attempt?.responder;
  }

  #setStop(reason: StopReason, isOn: boolean): void {
    this.#runner.post({
      type: isOn ? "stopBegan" : "stopWithdrawn",
      reason,
    });
  }

  #notifyDrained(): void {
    const listeners = this.#drainListeners;
    this.#drainListeners = [];
    for (const listener of listeners) listener();
  }

  #tick(): void {
    this.#runner.post({ type: "tick" });
    const nowMs = this.#options.readNowMs();
    const intervalMs = this.#progressTimeoutMs / HEARTBEATS_PER_TIMEOUT;
    for (const log of this.#logs.values()) log.sendHeartbeat(nowMs, intervalMs);
  }
}

/** Reads seconds; undefined for a date, a negative number or no number. */
function readPauseMs(retryAfter: string | undefined): number | undefined {
  if (retryAfter === undefined || retryAfter.trim() === "") return undefined;
  const pauseMs = Number(retryAfter) * MS_PER_S;
  return pauseMs >= 0 && Number.isFinite(pauseMs) ? pauseMs : undefined;
}

function attemptIdOf(message: AttemptMessage | AttemptQuery): string {
  return message.kind === "attempt"
    ? message.head.attemptId
    : message.attemptId;
}

function toEvent(message: AttemptMessage | AttemptQuery): AdmitEvent {
  const { agentIncarnation } = message;
  if (message.kind === "attempt") {
    const { head } = message;
    return {
      type: "attemptArrived",
      head,
      agentIncarnation,
      suspect: message.suspect,
      ...withKeyId(head.organisation, head.key),
    };
  }
  return {
    type: "attemptQueried",
    attemptId: message.attemptId,
    agentIncarnation,
    fingerprint: message.fingerprint,
    ...withKeyId(message.organisation, message.key),
  };
}

function withKeyId(
  organisation: string,
  key: string | undefined,
): { readonly keyId?: string } {
  return key === undefined ? {} : { keyId: digestKey(organisation, key) };
}
