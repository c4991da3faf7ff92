/** An entry of the soak `requests`: the real cores, wired to messages. */

import type { Ticket } from "@dandelionbank/read-ticket";
import { formatTicket, type RequestKey } from "@dandelionbank/read-ticket";
import * as quarantine from "@dandelionbank/quarantine-requests";
import { findHome } from "@dandelionbank/take-over-keys";
import * as track from "@dandelionbank/track-requests";
import type { TrackEffect, TrackEvent } from "@dandelionbank/track-requests";
import { AnswerChannel } from "./answer_channel.ts";
import { EntryView } from "./entry_view.ts";
import type { CallMessage, Message, PassMessage } from "./messages.ts";
import {
  HEARTBEAT_MS,
  PROGRESS_TIMEOUT_MS,
  TICK_MS,
  TICKET_VALIDITY_MS,
} from "./settings.ts";
import { createTextDigest } from "./text_digest.ts";
import type { Operation, World } from "./world.ts";

/** How soon a pending takeover is looked at again. */
const PENDING_MS = 25;
/** Share of choices of a target that find the pool overloaded. */
const OVERLOADED = 0.03;

interface KnownRequest {
  readonly operation: Operation;
  readonly key: RequestKey | undefined;
}

/** One life of an entry's process. */
export class EntryNode {
  readonly name: string;
  readonly incarnation: string;
  readonly #world: World;
  readonly #tracker: track.TrackState;
  readonly #quarantine: quarantine.QuarantineState;
  /** Attempts that run apart from other suspects. */
  readonly #suspects = new Set<string>();
  readonly #view: EntryView;
  readonly #requests = new Map<string, KnownRequest>();
  readonly #callerIds = new Set<string>();
  readonly #channels = new Map<string, AnswerChannel>();
  /** Keys that this life of the entry has dispatched itself. */
  readonly #dispatchedKeys = new Set<string>();
  /** Where each open attempt was sent. */
  readonly #attempts = new Map<string, string>();

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
      retryShare: 0.5,
      retryBurst: 5 * room,
      retryAfterMs: 100,
      maxKeys: 40 * room,
      maxKeptBytes: 4_000 * room,
      createDigest: createTextDigest,
    });
    this.#quarantine = quarantine.createQuarantineState({
      quarantineMs: 60_000,
      settleMs: 100,
      memoryMs: 30_000,
      maxFingerprints: 1_000,
    });
    this.#view = new EntryView(world, {
      name,
      incarnation: this.incarnation,
      onArbiterConfirmed: (untilMs) =>
        this.#feed({ type: "arbiterConfirmed", untilMs }),
      onArbiterClosed: () => this.#feed({ type: "arbiterClosed" }),
      onAgentLost: (target, agentIncarnation) =>
        this.#feed({ type: "agentLost", target, agentIncarnation }),
    });
    world.queue.start(name, {
      receive: (message, from) => this.#receive(message, from),
    });
    this.#view.start();
    this.#tick();
    this.#beat();
  }

  get isServing(): boolean {
    return this.#view.isReady;
  }

  get openCallers(): number {
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

  /** Some of its connections to a node break, others go silent. */
  breakConnections(peer: string): void {
    for (const [attemptId, to] of this.#attempts) {
      if (to !== peer || this.#world.random.chance(0.3)) continue;
      this.#feed({ type: "connectionLost", attemptId });
    }
  }

  countChecks(): Readonly<Record<string, number>> {
    return track.countChecks(this.#tracker);
  }

  get #nowMs(): number {
    return this.#world.queue.clockMs(this.name);
  }

  #tick(): void {
    this.#view.passTime();
    this.#feed({ type: "tick" });
    this.#feedQuarantine({ type: "tick" });
    this.#world.queue.startTimer(this.name, {
      delayMs: TICK_MS,
      run: () => this.#tick(),
    });
  }

  /** Heartbeats to the entries that wait for an answer from here. */
  #beat(): void {
    for (const channel of this.#channels.values()) channel.beat();
    this.#world.queue.startTimer(this.name, {
      delayMs: HEARTBEAT_MS,
      run: () => this.#beat(),
    });
  }

  #receive(message: Message, from: string): void {
    switch (message.type) {
      case "call":
      case "pass":
        return this.#takeCall(message, from);
      case "callerGone":
        if (message.incarnation !== this.incarnation) return;
        this.#channels.delete(message.callerId);
        return this.#feed({ type: "callerLeft", callerId: message.callerId });
      case "cancel":
        this.#channels.delete(message.attemptId);
        return this.#feed({ type: "callerLeft", callerId: message.attemptId });
      case "losses": {
        const { losses } = message;
        return this.#feedQuarantine({ type: "lossesTold", losses });
      }
      case "frame":
        return this.#feed({ type: "frameArrived", frame: message.frame });
      default:
        return this.#view.receive(message, from);
    }
  }

  #takeCall(message: CallMessage | PassMessage, from: string): void {
    const { callerId, key } = message;
    const operation = this.#world.operations.get(message.operationId);
    if (message.incarnation !== this.incarnation || !operation) return;
    if (message.type === "call" && this.#callerIds.has(callerId)) return;
    this.#callerIds.add(callerId);
    const requestId = this.#world.nextId("request");
    const known = this.#channels.has(callerId);
    if (!known) {
      const relayed = message.type === "pass";
      this.#channels.set(
        callerId,
        new AnswerChannel(this.#world, {
          callerId,
          from: this.name,
          to: from,
          relayed,
        }),
      );
    }
    this.#requests.set(requestId, { operation, key });
    this.#feed({
      type: "requestArrived",
      callerId,
      request: {
        requestId,
        organisation: operation.organisation,
        pool: operation.pool,
        fingerprint: operation.fingerprint,
        idempotent: operation.idempotent,
        resumable: operation.idempotent,
        timeLeftMs: message.timeLeftMs,
        ...(key && operation.key !== undefined
          ? {
            key: {
              keyId: operation.key,
              homeIncarnation: key.ticket.incarnation,
            },
          }
          : {}),
        ...(message.type === "pass" ? { relay: message.relay } : {}),
      },
    });
  }

  #feed(event: TrackEvent): void {
    const { effects } = track.step(this.#tracker, event, this.#nowMs);
    for (const effect of effects) this.#apply(effect);
  }

  #apply(effect: TrackEffect): void {
    switch (effect.type) {
      case "findHome":
        return this.#findHome(effect.requestId);
      case "pickTarget":
        return this.#pickTarget(effect);
      case "dispatch":
        return this.#dispatch(effect);
      case "passToHome":
        return this.#passToHome(effect);
      case "askAbout": {
        const { type: _, target, ...ask } = effect;
        this.#attempts.set(ask.attemptId, target);
        return this.#post(target, { type: "ask", ...ask });
      }
      case "cancelAttempt":
        return this.#cancel(effect.attemptId);
      case "sendHead":
      case "sendData":
      case "sendEnd":
        return this.#channels.get(effect.callerId)?.send(effect);
      case "answer":
        this.#checkAnswer(effect);
        return this.#channels.get(effect.callerId)?.send(effect);
      case "requestEnded":
        this.#requests.delete(effect.requestId);
        return;
      case "violation":
        return this.#world.violate(effect.invariant, effect.detail);
      case "frameDropped":
        return this.#world.outcome(`dropped ${effect.reason}`);
      case "attemptCrashed": {
        const { fingerprint, target, attemptId } = effect;
        const alone = this.#suspects.has(attemptId);
        this.#world.outcome("crashed");
        return this.#feedQuarantine({
          type: "targetLost",
          losses: [{ fingerprint, target, alone }],
        });
      }
    }
  }

  #findHome(requestId: string): void {
    const { operation, key } = this.#requests.get(requestId) ?? {};
    if (operation?.key === undefined || key === undefined) return;
    const { ticket } = key;
    const home = findHome(this.#view.takeOver, {
      keyId: operation.key,
      pool: operation.pool,
      ticket,
    });
    if (home.kind === "lost") this.#view.suspect(ticket.incarnation);
    if (home.kind === "pending") {
      const run = () => this.#findHome(requestId);
      this.#world.queue.startTimer(this.name, { delayMs: PENDING_MS, run });
      return;
    }
    const trusted = !this.#world.store.closings.has(this.incarnation) &&
      !this.#dispatchedKeys.has(operation.key);
    if (home.kind === "free" && trusted) {
      const executions = this.#world.executionsOfKey(operation.key);
      this.#world.check("freeKeyNeverRan", {
        holds: executions === 0 || operation.idempotent,
        detail: `${operation.key} at ${this.incarnation}`,
      });
    }
    this.#world.outcome(`home ${home.kind}`);
    this.#feed({ type: "homeFound", requestId, home });
  }

  #pickTarget(effect: Extract<TrackEffect, { type: "pickTarget" }>): void {
    const { requestId, pool, avoid, fingerprint } = effect;
    const verdict = quarantine.judge(this.#quarantine, fingerprint);
    if (verdict.kind === "quarantined") {
      const { retryAfterMs } = verdict;
      const code = "quarantined";
      return this.#feed({ type: "noTarget", requestId, code, retryAfterMs });
    }
    const lost = verdict.kind === "suspect" ? verdict.avoid : [];
    const agents = this.#view.listAgents(pool)
      .filter(({ target }) => !avoid.includes(target))
      .filter(({ target }) => !lost.includes(target));
    const overloaded = this.#world.plan.targetsFail &&
      this.#world.random.chance(OVERLOADED);
    if (overloaded) this.#world.fault("poolOverloaded");
    if (agents.length === 0 || overloaded) {
      const code = overloaded ? "overloaded" : "noTarget";
      return this.#feed({
        type: "noTarget",
        requestId,
        code,
        retryAfterMs: 50,
      });
    }
    const { target, incarnation } = this.#world.random.pick(agents);
    this.#feed({
      type: "targetPicked",
      requestId,
      target,
      agentIncarnation: incarnation,
    });
  }

  #dispatch(effect: Extract<TrackEffect, { type: "dispatch" }>): void {
    const { requestId, attemptId, target, agentIncarnation } = effect;
    const { operation, key } = this.#requests.get(requestId) ?? {};
    if (operation === undefined) {
      return this.#world.violate("dispatchHasRequest", attemptId);
    }
    const refused = !this.#world.queue.isRunning(target);
    if (refused && this.#world.random.chance(0.5)) {
      return this.#feed({ type: "dispatchFailed", attemptId });
    }
    this.#attempts.set(attemptId, target);
    const verdict = quarantine.judge(this.#quarantine, operation.fingerprint);
    const suspect = verdict.kind !== "clear";
    if (suspect) this.#suspects.add(attemptId);
    if (operation.key !== undefined) this.#dispatchedKeys.add(operation.key);
    this.#post(target, {
      type: "attempt",
      operationId: operation.id,
      keyId: key && operation.key,
      agentIncarnation,
      suspect,
      head: {
        attemptId,
        requestId,
        organisation: operation.organisation,
        ...(key === undefined ? {} : { key: formatKey(key) }),
        fingerprint: operation.fingerprint,
        entry: this.name,
        entryIncarnation: this.incarnation,
        idempotent: operation.idempotent,
        method: "POST",
        path: "/",
        contentType: "text/plain",
        priority: 0,
        timeLeftMs: effect.timeLeftMs,
        viewRevision: this.#view.revision,
      },
    });
  }

  #passToHome(effect: Extract<TrackEffect, { type: "passToHome" }>): void {
    const { requestId, attemptId, incarnation, supersedes } = effect;
    const { operation, key } = this.#requests.get(requestId) ?? {};
    const home = this.#view.nameOf(incarnation);
    if (operation === undefined || home === undefined) {
      return this.#feed({ type: "dispatchFailed", attemptId });
    }
    this.#attempts.set(attemptId, home);
    const number = Number(attemptId.slice(attemptId.lastIndexOf(".") + 1));
    this.#post(home, {
      type: "pass",
      incarnation,
      callerId: attemptId,
      operationId: operation.id,
      key,
      timeLeftMs: effect.timeLeftMs,
      relay: { entryIncarnation: this.incarnation, number, supersedes },
    });
  }

  #cancel(attemptId: string): void {
    const to = this.#attempts.get(attemptId);
    this.#attempts.delete(attemptId);
    if (to !== undefined) this.#post(to, { type: "cancel", attemptId });
  }

  /** What the arbiter calls not run must not have run up to now. */
  #checkAnswer(effect: Extract<TrackEffect, { type: "answer" }>): void {
    if (effect.outcome.kind !== "notRun") return;
    const { operation } = this.#requests.get(effect.requestId) ?? {};
    if (operation === undefined) return;
    const scope = operation.key ?? effect.requestId;
    this.#world.check("notRunIsTrue", {
      holds: this.#world.executionsOf(operation, scope) === 0,
      detail: `${operation.id} ${effect.outcome.code} at ${this.incarnation}`,
    });
  }

  #feedQuarantine(event: quarantine.QuarantineEvent): void {
    const nowMs = this.#nowMs;
    const { effects } = quarantine.step(this.#quarantine, event, nowMs);
    for (const effect of effects) {
      if (effect.type === "quarantine") {
        this.#world.quarantined.add(effect.fingerprint);
        continue;
      }
      const { losses } = effect;
      for (const to of this.#world.plan.entries) {
        if (to !== this.name) this.#post(to, { type: "losses", losses });
      }
    }
  }

  #post(to: string, message: Message): void {
    this.#world.queue.post({ from: this.name, to }, message);
  }
}

function formatKey(key: RequestKey): string {
  return `${formatTicket(key.ticket, key.signature)}/${key.suffix}`;
}
