/** An entry process of the soak `requests`: the product's cores over simulated messages. */

import type { Ticket } from "@dandelionbank/read-ticket";
import * as track from "@dandelionbank/track-requests";
import type {
  IncomingRequest,
  TrackEffect,
  TrackEvent,
} from "@dandelionbank/track-requests";
import { AnswerChannel } from "./answer_channel.ts";
import { EntrySender, type KnownRequest } from "./entry_sender.ts";
import { EntrySuspects } from "./entry_suspects.ts";
import { EntryView } from "./entry_view.ts";
import type { CallMessage, Message, RelayMessage } from "./messages.ts";
import {
  HEARTBEAT_INTERVAL_MS,
  PROGRESS_TIMEOUT_MS,
  TICK_INTERVAL_MS,
  TICKET_VALIDITY_MS,
} from "./settings.ts";
import { createTextDigest } from "./text_digest.ts";
import type { Operation, World } from "./world.ts";

/** One incarnation of an entry's process. */
export class EntryNode {
  readonly name: string;
  readonly incarnation: string;
  readonly #world: World;
  readonly #tracker: track.TrackState;
  readonly #suspects: EntrySuspects;
  readonly #view: EntryView;
  readonly #requests = new Map<string, KnownRequest>();
  readonly #callerIds = new Set<string>();
  readonly #channels = new Map<string, AnswerChannel>();
  readonly #sender: EntrySender;

  constructor(world: World, name: string) {
    this.name = name;
    this.incarnation = world.nextId(`${name}-`);
    this.#world = world;
    const { room } = world.plan;
    this.#tracker = track.createTrackState({
      incarnation: this.incarnation,
      progressTimeoutMs: PROGRESS_TIMEOUT_MS,
      hedgeAfterMs: 120,
      maxAttempts: 4,
      retryRatio: 0.5,
      retryBurst: 5 * room,
      retryAfterMs: 100,
      maxKeys: 40 * room,
      maxKeptBytes: 4_000 * room,
      createDigest: createTextDigest,
    });
    this.#suspects = new EntrySuspects(world, name);
    this.#view = new EntryView(world, {
      name,
      incarnation: this.incarnation,
      onLeaseRenewed: (untilMs) =>
        this.#handleEvent({ type: "arbiterLeaseRenewed", untilMs }),
      onIncarnationClosed: () => this.#handleEvent({ type: "arbiterClosed" }),
      onAgentLost: (target, agentIncarnation) =>
        this.#handleEvent({ type: "agentLost", target, agentIncarnation }),
    });
    this.#sender = new EntrySender(world, {
      name,
      incarnation: this.incarnation,
      requests: this.#requests,
      view: this.#view,
      suspects: this.#suspects,
      handleEvent: (event) => this.#handleEvent(event),
    });
    world.queue.start(name, {
      receive: (message, from) => this.#receive(message, from),
    });
    this.#view.start();
    this.#tick();
    this.#sendHeartbeats();
  }

  get isServing(): boolean {
    return this.#view.isReady;
  }

  get openCallerCount(): number {
    return track.readFigures(this.#tracker).callers;
  }

  issueTicket(): Ticket {
    const issuedAtMs = this.#nowMs;
    return {
      incarnation: this.incarnation,
      revision: this.#view.revision,
      issuedAtMs,
      expiresAtMs: issuedAtMs + TICKET_VALIDITY_MS,
    };
  }

  /** Reports most of the connections to a node as lost; the others stay open without data. */
  breakConnections(peer: string): void {
    this.#sender.breakConnections(peer);
  }

  countChecks(): Readonly<Record<string, number>> {
    return track.countChecks(this.#tracker);
  }

  get #nowMs(): number {
    return this.#world.queue.clockMs(this.name);
  }

  #tick(): void {
    this.#view.tick();
    this.#handleEvent({ type: "tick" });
    this.#suspects.tick();
    this.#world.queue.startTimer(this.name, {
      delayMs: TICK_INTERVAL_MS,
      run: () => this.#tick(),
    });
  }

  /** Sends heartbeats to the entries that relayed requests to this one. */
  #sendHeartbeats(): void {
    for (const channel of this.#channels.values()) channel.sendHeartbeat();
    this.#world.queue.startTimer(this.name, {
      delayMs: HEARTBEAT_INTERVAL_MS,
      run: () => this.#sendHeartbeats(),
    });
  }

  #receive(message: Message, from: string): void {
    switch (message.type) {
      case "call":
      case "relay":
        return this.#handleCall(message, from);
      case "callerGone":
        if (message.incarnation !== this.incarnation) return;
        this.#channels.delete(message.callerId);
        return this.#handleEvent({
          type: "callerDisconnected",
          callerId: message.callerId,
        });
      case "cancel":
        this.#channels.delete(message.attemptId);
        return this.#handleEvent({
          type: "callerDisconnected",
          callerId: message.attemptId,
        });
      case "losses":
        return this.#suspects.applyRemoteLosses(message.losses);
      case "frame":
        return this.#handleEvent({
          type: "frameArrived",
          frame: message.frame,
        });
      default:
        return this.#view.receive(message);
    }
  }

  #handleCall(message: CallMessage | RelayMessage, from: string): void {
    const { callerId, key } = message;
    const operation = this.#world.operations.get(message.operationId);
    if (message.incarnation !== this.incarnation || !operation) return;
    if (message.type === "call" && this.#callerIds.has(callerId)) return;
    this.#callerIds.add(callerId);
    const requestId = this.#world.nextId("request");
    const known = this.#channels.has(callerId);
    if (!known) {
      const isRelayed = message.type === "relay";
      this.#channels.set(
        callerId,
        new AnswerChannel(this.#world, {
          callerId,
          from: this.name,
          to: from,
          isRelayed,
        }),
      );
    }
    this.#requests.set(requestId, { operation, key });
    const request = toRequest(message, { requestId, operation });
    this.#handleEvent({ type: "requestArrived", callerId, request });
  }

  #handleEvent(event: TrackEvent): void {
    const { effects } = track.step(this.#tracker, event, this.#nowMs);
    for (const effect of effects) this.#performEffect(effect);
  }

  #performEffect(effect: TrackEffect): void {
    switch (effect.type) {
      case "findHome":
        return this.#sender.resolveHome(effect.requestId);
      case "pickTarget":
        return this.#sender.pickTarget(effect);
      case "dispatch":
        return this.#sender.dispatch(effect);
      case "relayToHome":
        return this.#sender.relayToHome(effect);
      case "queryAttempt":
        return this.#sender.queryAttempt(effect);
      case "cancelAttempt":
        return this.#sender.cancel(effect.attemptId);
      case "sendHead":
      case "sendData":
      case "sendEnd":
        return this.#channels.get(effect.callerId)?.send(effect);
      case "sendOutcome":
        this.#checkNotRun(effect);
        return this.#channels.get(effect.callerId)?.send(effect);
      case "requestEnded":
        this.#requests.delete(effect.requestId);
        return;
      case "violation":
        return this.#world.reportViolation(effect.invariant, effect.detail);
      case "frameDropped":
        return this.#world.countOutcome(`dropped ${effect.reason}`);
      case "attemptCrashed":
        this.#world.countOutcome("crashed");
        return this.#suspects.reportLoss(effect);
    }
  }

  /** Checks that a request with outcome `notRun` has not been executed so far. */
  #checkNotRun(effect: Extract<TrackEffect, { type: "sendOutcome" }>): void {
    if (effect.outcome.kind !== "notRun") return;
    const { operation } = this.#requests.get(effect.requestId) ?? {};
    if (operation === undefined) return;
    const scope = operation.key ?? effect.requestId;
    this.#world.checkInvariant("notRunIsTrue", {
      holds: this.#world.countExecutions(operation, scope) === 0,
      detail: `${operation.id} ${effect.outcome.code} at ${this.incarnation}`,
    });
  }
}

function toRequest(
  message: CallMessage | RelayMessage,
  known: { readonly requestId: string; readonly operation: Operation },
): IncomingRequest {
  const { requestId, operation } = known;
  const homeIncarnation = message.key?.ticket.incarnation;
  const keyId = operation.key;
  return {
    requestId,
    organisation: operation.organisation,
    pool: operation.pool,
    fingerprint: operation.fingerprint,
    idempotent: operation.idempotent,
    resumable: operation.idempotent,
    timeLeftMs: message.timeLeftMs,
    ...(homeIncarnation !== undefined && keyId !== undefined
      ? { key: { keyId, homeIncarnation } }
      : {}),
    ...(message.type === "relay" ? { relay: message.relay } : {}),
  };
}
