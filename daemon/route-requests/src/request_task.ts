/**
 * Owns an entry's requests: the limiter, placement and the ledger decide, and
 * this task sends, relays and answers as their effects say.
 */

import { createBodyDigest, digestKey } from "@dandelionbank/digest-bodies";
import type { TextHash } from "@dandelionbank/hash-text";
import type { Logger } from "@dandelionbank/log-events";
import type { HttpConnector } from "@dandelionbank/open-http";
import type { PlacementTarget } from "@dandelionbank/pick-target";
import type { TargetLoss } from "@dandelionbank/quarantine-requests";
import { CoreRunner } from "@dandelionbank/run-core";
import type { CallerAnswer, CallerRequest } from "@dandelionbank/serve-callers";
import type { AttemptResponder } from "@dandelionbank/serve-peers";
import type { HomeLookup, HomeQuery } from "@dandelionbank/take-over-keys";
import {
  createTrackState,
  readFigures,
  step as trackStep,
  type TrackEffect,
  type TrackEvent,
  type TrackState,
} from "@dandelionbank/track-requests";
import type { RelayMessage, View } from "@dandelionbank/types";
import { SuspectTask } from "@dandelionbank/watch-suspects";
import { AnswerWriter } from "./answer_writer.ts";
import { AttemptSender } from "./attempt_sender.ts";
import { CallerTable } from "./caller_table.ts";
import { HttpCallerPort } from "./http_caller_port.ts";
import { Placer } from "./placer.ts";
import { RelayPort } from "./relay_port.ts";
import { openFromCaller, openFromRelay } from "./open_request.ts";
import { RequestLimiter } from "./request_limiter.ts";
import type { RequestMetrics } from "./request_metrics.ts";
import { type OpenRequest, RequestTable } from "./request_table.ts";
import { TargetChooser } from "./target_chooser.ts";
import type { TicketOffice } from "./ticket_office.ts";

const TICK_MS = 50;
/** Between two looks at a takeover that is not decided. */
const PENDING_HOME_MS = 50;
/** Ticks between two heartbeats to an entry that passed a request on. */
const TICKS_PER_BEAT = 10;

const TRACK_OPTIONS = {
  progressTimeoutMs: 2_000,
  hedgeAfterMs: undefined,
  maxAttempts: 4,
  retryRatio: 0.1,
  retryBurst: 20,
  retryAfterMs: 1_000,
  maxKeys: 50_000,
  maxKeptBytes: 8 * 1024 * 1024,
} as const;

export interface RequestTaskOptions {
  readonly entry: string;
  readonly incarnation: string;
  readonly peerSecret: string;
  readonly connector?: HttpConnector;
  readonly tickets: TicketOffice;
  readonly hash: TextHash;
  readonly logger: Logger;
  readonly metrics: RequestMetrics;
  /** Who arbitrates a key, as far as this entry knows. */
  readonly findHome: (question: HomeQuery) => HomeLookup;
  /** The home entry did not answer, or is not known. */
  readonly onHomeSilent: (incarnation: string) => void;
  readonly onKeyedRequest: () => void;
  /** Tells other entries what was lost with a target. */
  readonly tellLosses: (losses: readonly TargetLoss[]) => void;
  /** Tells other entries which fingerprint is refused. */
  readonly tellQuarantine: (fingerprint: string) => void;
  /** A monotonic clock in milliseconds. */
  readonly readNowMs: () => number;
}

interface InvariantViolation {
  readonly invariant: string;
  readonly detail: string;
}

export class RequestTask {
  readonly #options: RequestTaskOptions;
  readonly #tracker: CoreRunner<TrackState, TrackEvent, TrackEffect>;
  readonly #limiter: RequestLimiter;
  readonly #placer: Placer;
  readonly #suspects: SuspectTask;
  readonly #sender: AttemptSender;
  readonly #requests = RequestTable.create();
  readonly #callers = CallerTable.create();
  readonly #answers: AnswerWriter;
  readonly #chooser: TargetChooser;
  readonly #timer: NodeJS.Timeout;
  #view: View | undefined;
  #ticks = 0;

  private constructor(options: RequestTaskOptions) {
    this.#options = options;
    const { incarnation, readNowMs } = options;
    this.#tracker = CoreRunner.create({
      initial: createTrackState({
        ...TRACK_OPTIONS,
        incarnation,
        createDigest: createBodyDigest,
      }),
      step: trackStep,
      perform: (effect) => this.#perform(effect),
      readNowMs,
    });
    const onViolation = (violation: InvariantViolation): void =>
      this.#reportViolation(violation);
    this.#limiter = RequestLimiter.create({ ...options, onViolation });
    this.#placer = Placer.create({ ...options, onViolation });
    this.#suspects = SuspectTask.create(options);
    this.#sender = AttemptSender.create({
      ...options,
      suspects: this.#suspects,
      post: (event) => this.#tracker.post(event),
      onHomeSilent: options.onHomeSilent,
      placer: this.#placer,
    });
    this.#answers = AnswerWriter.create({
      ...options,
      callers: this.#callers,
      requests: this.#requests,
      onSlowCaller: (requestId) => this.#sender.pause(requestId),
    });
    this.#chooser = TargetChooser.create({
      ...options,
      requests: this.#requests,
      suspects: this.#suspects,
      limiter: this.#limiter,
      placer: this.#placer,
      sender: this.#sender,
    });
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  static create(options: RequestTaskOptions): RequestTask {
    return new RequestTask(options);
  }

  get inFlight(): number {
    return readFigures(this.#tracker.state).requests;
  }

  /** Follows the platform's objects; work in flight keeps what it began with. */
  applyView(view: View): void {
    const before = this.#view;
    this.#view = view;
    this.#limiter.applyView(before, view);
    if (before?.entries !== view.entries) this.#takeEntries(view);
    if (before?.agents !== view.agents) this.#takeAgents(view);
    if (before?.config !== view.config) this.#takeTiming(view);
    const placement = view.config?.value.placement;
    if (placement !== before?.config?.value.placement) {
      this.#placer.usePolicy(placement);
    }
  }

  /** Follows which targets take work, as far as this entry knows. */
  applyMembers(members: readonly PlacementTarget[]): void {
    this.#placer.replaceTargets(members);
  }

  /** Takes a caller's request that passed the checks at the edge. */
  handle(request: CallerRequest, answer: CallerAnswer): void {
    const { organisation } = request.contract;
    const port = HttpCallerPort.create(answer);
    const key = request.key === undefined
      ? undefined
      : this.#options.tickets.readKey(organisation, request.key);
    if (request.key !== undefined && key === undefined) {
      return port.giveUp({
        kind: "notRun",
        proof: { kind: "neverDispatched" },
        code: "keyInvalid",
        retryAfterMs: 0,
      });
    }
    this.#begin({
      open: openFromCaller(request, { key, nowMs: this.#options.readNowMs() }),
      port,
      timeLeftMs: request.config.requestTimeoutMs,
    });
  }

  /** Takes a request that another entry passed to this one, its home. */
  takeRelay(
    message: RelayMessage,
    body: Buffer,
    responder: AttemptResponder,
  ): void {
    const { head } = message;
    const port = RelayPort.create(head.attemptId, responder);
    const key = head.key === undefined
      ? undefined
      : this.#options.tickets.readKey(head.organisation, head.key);
    if (key === undefined) return responder.end();
    const nowMs = this.#options.readNowMs();
    this.#begin({
      open: openFromRelay(message, body, { key, nowMs }),
      port,
      timeLeftMs: head.timeLeftMs,
      relay: {
        entryIncarnation: head.entryIncarnation,
        number: Number(
          head.attemptId.slice(head.attemptId.lastIndexOf(".") + 1),
        ),
        supersedes: message.supersedes,
      },
    });
  }

  takeLosses(losses: readonly TargetLoss[]): void {
    this.#suspects.takeLosses(losses);
  }

  takeQuarantine(fingerprint: string): void {
    this.#suspects.takeQuarantine(fingerprint);
  }

  confirmArbiter(untilMs: number): void {
    this.#tracker.post({ type: "arbiterLeaseRenewed", untilMs });
  }

  closeArbiter(): void {
    this.#tracker.post({ type: "arbiterClosed" });
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.#tracker.stop();
    this.#limiter.stop();
    await this.#sender.close();
  }

  #begin(begun: {
    readonly open: OpenRequest;
    readonly port: HttpCallerPort | RelayPort;
    readonly timeLeftMs: number;
    readonly relay?: {
      readonly entryIncarnation: string;
      readonly number: number;
      readonly supersedes: readonly number[];
    };
  }): void {
    const { open, port, timeLeftMs, relay } = begun;
    const callerId = open.requestId;
    this.#requests.add(open);
    this.#callers.add(callerId, { port, requestId: open.requestId });
    if (open.keyText !== undefined) this.#options.onKeyedRequest();
    port.onAbandoned(() => this.#leave(callerId));
    port.onDrained(() => this.#sender.resume(open.requestId));
    this.#tracker.post({
      type: "requestArrived",
      callerId,
      request: {
        requestId: open.requestId,
        organisation: open.organisation,
        pool: open.pool,
        fingerprint: open.fingerprint,
        idempotent: open.idempotent,
        resumable: open.resumable,
        timeLeftMs,
        ...(open.keyText === undefined || open.ticket === undefined ? {} : {
          key: {
            keyId: digestKey(open.organisation, open.keyText),
            homeIncarnation: open.ticket.incarnation,
          },
        }),
        ...(relay === undefined ? {} : { relay }),
      },
    });
    this.#options.metrics.setInFlight(this.inFlight);
  }

  #leave(callerId: string): void {
    this.#callers.remove(callerId);
    this.#tracker.post({ type: "callerDisconnected", callerId });
  }

  #perform(effect: TrackEffect): void {
    switch (effect.type) {
      case "findHome":
        return this.#findHome(effect);
      case "pickTarget":
        return this.#tracker.post(this.#chooser.choose(effect));
      case "dispatch":
        return this.#sender.dispatch(
          effect,
          this.#requests.get(effect.requestId),
        );
      case "relayToHome":
        return this.#sender.passToHome(
          effect,
          this.#requests.get(effect.requestId),
        );
      case "queryAttempt":
        return this.#sender.askAbout(
          effect,
          this.#requests.get(effect.requestId),
        );
      case "cancelAttempt":
        return this.#sender.cancel(effect.attemptId);
      case "sendHead":
        return this.#answers.writeHead(effect);
      case "sendData":
        return this.#answers.writeData(effect);
      case "sendEnd":
        return this.#answers.writeEnd(effect);
      case "sendOutcome":
        return this.#answers.giveUp(effect);
      case "attemptCrashed":
        this.#suspects.lose(effect);
        this.#options.logger.log("attemptCrashed", {
          requestId: effect.requestId,
          organisation: effect.organisation,
          fingerprint: effect.fingerprint,
          target: effect.target,
        });
        return;
      case "frameDropped":
        return this.#options.metrics.countDrop(effect.reason);
      case "requestEnded":
        return this.#endRequest(effect);
      case "violation":
        return this.#reportViolation(effect);
    }
  }

  #findHome(
    wanted: { readonly requestId: string; readonly keyId: string },
  ): void {
    const { requestId, keyId } = wanted;
    const open = this.#requests.get(requestId);
    if (open?.ticket === undefined) return;
    const { pool, ticket } = open;
    const found = this.#options.findHome({ keyId, pool, ticket });
    const isTriedAgain = found.kind === "elsewhere" &&
      this.#sender.targetOf(requestId) === found.incarnation;
    if (found.kind === "lost" || isTriedAgain) {
      this.#options.onHomeSilent(ticket.incarnation);
    }
    if (found.kind === "pending") {
      setTimeout(() => this.#findHome(wanted), PENDING_HOME_MS);
      return;
    }
    this.#tracker.post({ type: "homeFound", requestId, home: found });
  }

  #endRequest(ended: Extract<TrackEffect, { type: "requestEnded" }>): void {
    const { requestId, outcome, target } = ended;
    const { metrics, logger } = this.#options;
    const open = this.#requests.take(requestId);
    this.#sender.forget(requestId);
    metrics.countEnd(outcome);
    metrics.setInFlight(this.inFlight);
    if (open === undefined) return;
    const { organisation } = open;
    logger.log("requestEnded", { requestId, organisation, outcome, target });
    this.#limiter.end(open, outcome);
  }

  #takeTiming(view: View): void {
    const config = view.config?.value;
    if (config === undefined) return;
    const { progressTimeoutMs, hedgeAfterMs } = config;
    this.#tracker.post({
      type: "timingChanged",
      progressTimeoutMs,
      hedgeAfterMs: hedgeAfterMs === 0 ? undefined : hedgeAfterMs,
    });
  }

  #takeEntries(view: View): void {
    const entries = [...view.entries.values()].map(({ value }) => value);
    this.#sender.replaceEntries(
      entries.map(({ incarnation, peerUrl }) => ({
        name: incarnation,
        incarnation,
        peerUrl,
      })),
    );
  }

  #takeAgents(view: View): void {
    const agents = [...view.agents.values()].map(({ value }) => value);
    this.#sender.replaceAgents(
      agents.map(({ target, incarnation, peerUrl }) => ({
        name: target.name,
        incarnation,
        peerUrl,
      })),
    );
  }

  #reportViolation({ invariant, detail }: InvariantViolation): void {
    this.#options.metrics.countViolation(invariant);
    this.#options.logger.log("invariantViolated", { invariant, detail });
  }

  #tick(): void {
    this.#ticks += 1;
    this.#tracker.post({ type: "tick" });
    this.#limiter.tick();
    this.#suspects.tick();
    if (this.#ticks % TICKS_PER_BEAT === 0) this.#callers.beat();
  }
}
