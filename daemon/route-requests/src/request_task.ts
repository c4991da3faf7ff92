/**
 * Routes an entry's requests. The limiter, the placement core and the request
 * tracker (`track-requests`) make the decisions; this task sends attempts, relays
 * requests and writes answers to carry out their effects. A request with an
 * idempotency key is decided by its home entry, the entry that owns the key;
 * any other entry relays the request there.
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
import {
  createRequestFromCaller,
  createRequestFromRelay,
} from "./create_request.ts";
import { RequestLimiter } from "./request_limiter.ts";
import type { RequestMetrics } from "./request_metrics.ts";
import { type OpenRequest, RequestTable } from "./request_table.ts";
import { TargetChooser } from "./target_chooser.ts";
import type { TicketSigner } from "./ticket_signer.ts";

const TICK_MS = 50;
/** Interval between lookups of a home entry while a takeover is undecided. */
const HOME_RETRY_INTERVAL_MS = 50;
/** Ticks between heartbeats to an entry that relayed a request here. */
const TICKS_PER_HEARTBEAT = 10;

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
  readonly tickets: TicketSigner;
  readonly hash: TextHash;
  readonly logger: Logger;
  readonly metrics: RequestMetrics;
  /** Looks up the entry that arbitrates a key, as far as this entry knows. */
  readonly findHome: (query: HomeQuery) => HomeLookup;
  /** Called when the home entry did not answer or is unknown. */
  readonly onHomeUnreachable: (incarnation: string) => void;
  /** Called when a request with an idempotency key arrives. */
  readonly onKeyedRequest: () => void;
  /** Sends other entries the requests that were lost with a target. */
  readonly broadcastLosses: (losses: readonly TargetLoss[]) => void;
  /** Sends other entries the fingerprint of a quarantined request. */
  readonly broadcastQuarantine: (fingerprint: string) => void;
  /** Reads a monotonic clock, in milliseconds. */
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
      onHomeUnreachable: options.onHomeUnreachable,
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

  /** Applies a new view; requests in flight keep the settings they began with. */
  applyView(view: View): void {
    const before = this.#view;
    this.#view = view;
    this.#limiter.applyView(before, view);
    if (before?.entries !== view.entries) this.#applyEntries(view);
    if (before?.agents !== view.agents) this.#applyAgents(view);
    if (before?.config !== view.config) this.#applyTiming(view);
    const placement = view.config?.value.placement;
    if (placement !== before?.config?.value.placement) {
      this.#placer.setPolicy(placement);
    }
  }

  /** Replaces the targets that accept work, as far as this entry knows. */
  applyMembers(members: readonly PlacementTarget[]): void {
    this.#placer.replaceTargets(members);
  }

  /** Begins a caller's request that passed the checks of the caller server. */
  handleRequest(request: CallerRequest, answer: CallerAnswer): void {
    const { organisation } = request.contract;
    const port = HttpCallerPort.create(answer);
    const key = request.key === undefined
      ? undefined
      : this.#options.tickets.verifyKey(organisation, request.key);
    if (request.key !== undefined && key === undefined) {
      return port.sendOutcome({
        kind: "notRun",
        proof: { kind: "neverDispatched" },
        code: "keyInvalid",
        retryAfterMs: 0,
      });
    }
    this.#begin({
      openRequest: createRequestFromCaller(request, {
        key,
        nowMs: this.#options.readNowMs(),
      }),
      port,
      timeLeftMs: request.config.requestTimeoutMs,
    });
  }

  /** Begins a request that another entry relayed to this one, its home entry. */
  handleRelay(
    message: RelayMessage,
    body: Buffer,
    responder: AttemptResponder,
  ): void {
    const { head } = message;
    const port = RelayPort.create(head.attemptId, responder);
    const key = head.key === undefined
      ? undefined
      : this.#options.tickets.verifyKey(head.organisation, head.key);
    if (key === undefined) return responder.end();
    const nowMs = this.#options.readNowMs();
    this.#begin({
      openRequest: createRequestFromRelay(message, body, { key, nowMs }),
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

  applyRemoteLosses(losses: readonly TargetLoss[]): void {
    this.#suspects.applyRemoteLosses(losses);
  }

  applyRemoteQuarantine(fingerprint: string): void {
    this.#suspects.applyRemoteQuarantine(fingerprint);
  }

  /** Lets this entry arbitrate the keys that it owns until `untilMs`. */
  renewArbiterLease(untilMs: number): void {
    this.#tracker.post({ type: "arbiterLeaseRenewed", untilMs });
  }

  /** Ends the arbitration of keys: a successor has closed this incarnation. */
  closeIncarnation(): void {
    this.#tracker.post({ type: "arbiterClosed" });
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.#tracker.stop();
    this.#limiter.stop();
    await this.#sender.close();
  }

  #begin(options: {
    readonly openRequest: OpenRequest;
    readonly port: HttpCallerPort | RelayPort;
    readonly timeLeftMs: number;
    /** For a relayed request, its attempt at the entry that relayed it. */
    readonly relay?: {
      readonly entryIncarnation: string;
      /** Attempt number at that entry. */
      readonly number: number;
      /** Numbers of earlier attempts of the request, which this one replaces. */
      readonly supersedes: readonly number[];
    };
  }): void {
    const { openRequest, port, timeLeftMs, relay } = options;
    const callerId = openRequest.requestId;
    this.#requests.add(openRequest);
    this.#callers.add(callerId, { port, requestId: openRequest.requestId });
    if (openRequest.keyText !== undefined) this.#options.onKeyedRequest();
    port.onAbandoned(() => this.#removeCaller(callerId));
    port.onDrained(() => this.#sender.resume(openRequest.requestId));
    this.#tracker.post({
      type: "requestArrived",
      callerId,
      request: {
        requestId: openRequest.requestId,
        organisation: openRequest.organisation,
        pool: openRequest.pool,
        fingerprint: openRequest.fingerprint,
        idempotent: openRequest.idempotent,
        resumable: openRequest.resumable,
        timeLeftMs,
        ...(openRequest.keyText === undefined ||
            openRequest.ticket === undefined
          ? {}
          : {
            key: {
              keyId: digestKey(openRequest.organisation, openRequest.keyText),
              homeIncarnation: openRequest.ticket.incarnation,
            },
          }),
        ...(relay === undefined ? {} : { relay }),
      },
    });
    this.#options.metrics.setInFlight(this.inFlight);
  }

  #removeCaller(callerId: string): void {
    this.#callers.remove(callerId);
    this.#tracker.post({ type: "callerDisconnected", callerId });
  }

  #perform(effect: TrackEffect): void {
    switch (effect.type) {
      case "findHome":
        return this.#findHome(effect);
      case "pickTarget":
        return this.#tracker.post(this.#chooser.chooseTarget(effect));
      case "dispatch":
        return this.#sender.dispatch(
          effect,
          this.#requests.get(effect.requestId),
        );
      case "relayToHome":
        return this.#sender.relayToHome(
          effect,
          this.#requests.get(effect.requestId),
        );
      case "queryAttempt":
        return this.#sender.queryAttempt(
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
        return this.#answers.writeOutcome(effect);
      case "attemptCrashed":
        this.#suspects.reportLoss(effect);
        this.#options.logger.log("attemptCrashed", {
          requestId: effect.requestId,
          organisation: effect.organisation,
          fingerprint: effect.fingerprint,
          target: effect.target,
        });
        return;
      case "frameDropped":
        return this.#options.metrics.countDroppedFrame(effect.reason);
      case "requestEnded":
        return this.#endRequest(effect);
      case "violation":
        return this.#reportViolation(effect);
    }
  }

  /** Looks up a request's home entry until any takeover of its keys is decided. */
  #findHome(
    query: { readonly requestId: string; readonly keyId: string },
  ): void {
    const { requestId, keyId } = query;
    const openRequest = this.#requests.get(requestId);
    if (openRequest?.ticket === undefined) return;
    const { pool, ticket } = openRequest;
    const home = this.#options.findHome({ keyId, pool, ticket });
    const wasAlreadyTried = home.kind === "elsewhere" &&
      this.#sender.latestTargetOf(requestId) === home.incarnation;
    if (home.kind === "lost" || wasAlreadyTried) {
      this.#options.onHomeUnreachable(ticket.incarnation);
    }
    if (home.kind === "pending") {
      setTimeout(() => this.#findHome(query), HOME_RETRY_INTERVAL_MS);
      return;
    }
    this.#tracker.post({ type: "homeFound", requestId, home });
  }

  #endRequest(effect: Extract<TrackEffect, { type: "requestEnded" }>): void {
    const { requestId, outcome, target } = effect;
    const { metrics, logger } = this.#options;
    const openRequest = this.#requests.remove(requestId);
    this.#sender.removeRequest(requestId);
    metrics.countResult(outcome);
    metrics.setInFlight(this.inFlight);
    if (openRequest === undefined) return;
    const { organisation } = openRequest;
    logger.log("requestEnded", { requestId, organisation, outcome, target });
    this.#limiter.recordEnd(openRequest, outcome);
  }

  #applyTiming(view: View): void {
    const config = view.config?.value;
    if (config === undefined) return;
    const { progressTimeoutMs, hedgeAfterMs } = config;
    this.#tracker.post({
      type: "timingChanged",
      progressTimeoutMs,
      hedgeAfterMs: hedgeAfterMs === 0 ? undefined : hedgeAfterMs,
    });
  }

  #applyEntries(view: View): void {
    const entries = [...view.entries.values()].map(({ value }) => value);
    this.#sender.replaceEntries(
      entries.map(({ incarnation, peerUrl }) => ({
        name: incarnation,
        incarnation,
        peerUrl,
      })),
    );
  }

  #applyAgents(view: View): void {
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
    if (this.#ticks % TICKS_PER_HEARTBEAT === 0) this.#callers.sendHeartbeats();
  }
}
