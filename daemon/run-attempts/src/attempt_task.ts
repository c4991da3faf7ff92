/**
 * Owns the admission core, the calls that run on the target and their kept
 * answers. The core decides; this task only does what its effects say.
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
import type { TargetAdapter } from "@dandelionbank/call-target";
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
import { type AttemptRun, startRun } from "./attempt_run.ts";
import { AttemptReader } from "./attempt_reader.ts";

const TICK_MS = 100;

/** Heartbeats in one progress timeout. */
const HEARTBEATS_PER_TIMEOUT = 3;
const DEFAULT_PROGRESS_TIMEOUT_MS = 2_000;

export interface AttemptTaskOptions {
  readonly admission: AdmitOptions;
  readonly adapter: TargetAdapter;
  readonly logger: Logger;
  readonly metrics: AttemptMetrics;
  /** A monotonic clock in milliseconds. */
  readonly readNowMs: () => number;
}

/** An attempt whose fate the core is about to decide. */
interface Arrival {
  readonly request: AttemptRequest;
  readonly responder: AttemptResponder;
}

export class AttemptTask {
  readonly #options: AttemptTaskOptions;
  readonly #runner: CoreRunner<AdmitState, AdmitEvent, AdmitEffect>;
  readonly #arrivals = new Map<string, Arrival>();
  readonly #readers = new Map<string, AttemptReader>();
  readonly #logs = new Map<string, AnswerLog>();
  readonly #runs = new Map<string, AttemptRun>();
  readonly #keyAnswers = new Map<string, (answer: AnswerKeys) => void>();
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

  /** Opens admission: these incarnations were closed when the agent registered. */
  openAdmission(closedIncarnations: readonly string[]): void {
    this.#runner.post({
      type: "closingsRead",
      incarnations: closedIncarnations,
    });
  }

  take(request: AttemptRequest, responder: AttemptResponder): void {
    const { message } = request;
    // Relays are for entries; an agent says nothing, and the sender asks again.
    if (message.kind === "relay") return responder.end();
    const attemptId = attemptIdOf(message);
    this.#arrivals.set(attemptId, { request, responder });
    this.#runner.post(toEvent(message));
  }

  /** Takes in what an entry shows of its view; an older one changes nothing. */
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

  /** Takes no new work from now on; resolves when nothing runs any longer. */
  drain(reason: StopReason): Promise<void> {
    return new Promise((resolve) => {
      this.#drainListeners.push(resolve);
      this.#setStop(reason, true);
      if (readFigures(this.#runner.state).running === 0) this.#tellDrained();
    });
  }

  /** What is known of the keys of closed incarnations. */
  askKeys(incarnations: readonly string[]): Promise<AnswerKeys> {
    const askId = randomUUID();
    return new Promise((resolve) => {
      this.#keyAnswers.set(askId, resolve);
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
        this.#keyAnswers.get(effect.askId)?.(effect);
        this.#keyAnswers.delete(effect.askId);
        return;
      case "drained":
        return this.#tellDrained();
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
    const arrival = this.#arrivals.get(attemptId);
    if (arrival?.request.message.kind !== "attempt") return;
    const { head } = arrival.request.message;
    const log = AnswerLog.create(attemptId, this.#options.readNowMs());
    this.#logs.set(attemptId, log);
    this.#attach(attemptId, attemptId);
    const run = startRun({
      head,
      body: arrival.request.body,
      log,
      adapter: this.#options.adapter,
      readNowMs: this.#options.readNowMs,
      onWhole: () => this.#endRun(log),
      onFailure: (failure) => this.#failRun(log, failure),
    });
    if (!log.isEnded) this.#runs.set(attemptId, run);
    this.#options.metrics.setInFlight(this.readLoad().inFlight);
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

  /** Gives the waiting entry the answer that `answeredBy` gives. */
  #attach(attemptId: string, answeredBy: string): void {
    const responder = this.#takeArrival(attemptId);
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
    responder.onAbandoned(() => this.#leave(reader, log));
    log.addReader(reader);
    this.#runs.get(answeredBy)?.resume();
  }

  #leave(reader: AttemptReader, log: AnswerLog): void {
    log.removeReader(reader);
    const { attemptId } = reader;
    if (this.#readers.get(attemptId) !== reader) return;
    this.#readers.delete(attemptId);
    const answeredBy = log.attemptId;
    // The run may have waited for this reader alone.
    this.#runs.get(answeredBy)?.resume();
    this.#runner.post({ type: "listenerDisconnected", attemptId, answeredBy });
  }

  #refuse(refusal: {
    readonly attemptId: string;
    readonly code: string;
    readonly retryAfterMs: number;
  }): void {
    const responder = this.#takeArrival(refusal.attemptId);
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
    const responder = this.#takeArrival(failure.attemptId);
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

  #takeArrival(attemptId: string): AttemptResponder | undefined {
    const arrival = this.#arrivals.get(attemptId);
    this.#arrivals.delete(attemptId);
    return arrival?.responder;
  }

  #setStop(reason: StopReason, isOn: boolean): void {
    this.#runner.post({
      type: isOn ? "stopBegan" : "stopWithdrawn",
      reason,
    });
  }

  #tellDrained(): void {
    const listeners = this.#drainListeners;
    this.#drainListeners = [];
    for (const listener of listeners) listener();
  }

  #tick(): void {
    this.#runner.post({ type: "tick" });
    const nowMs = this.#options.readNowMs();
    const intervalMs = this.#progressTimeoutMs / HEARTBEATS_PER_TIMEOUT;
    for (const log of this.#logs.values()) log.beat(nowMs, intervalMs);
  }
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
