/** An agent process of the soak `requests`: the admission core and its target. */

import * as admit from "@dandelionbank/admit-attempts";
import type { AdmitEffect, AdmitEvent } from "@dandelionbank/admit-attempts";
import type { AttemptFrame } from "@dandelionbank/types";
import type {
  AskKeysMessage,
  AttemptMessage,
  Message,
  QueryMessage,
} from "./messages.ts";
import {
  HEARTBEAT_INTERVAL_MS,
  KEY_RETENTION_MS,
  TICK_INTERVAL_MS,
} from "./settings.ts";
import {
  type AttemptWork,
  type FrameBody,
  LOAD,
  TargetCalls,
} from "./target_calls.ts";
import type { World } from "./world.ts";

export interface AgentSpec {
  readonly target: string;
  readonly pool: string;
}

/** One incarnation of an agent's process. */
export class AgentNode {
  readonly incarnation: string;
  readonly #world: World;
  readonly #spec: AgentSpec;
  readonly #state: admit.AdmitState;
  readonly #calls: TargetCalls;
  /** The node that sent each attempt, query or key question, by its ID. */
  readonly #senderByRequest = new Map<string, string>();
  #revision = 0;
  #stopping = false;
  readonly #onDrained: () => void;

  constructor(
    world: World,
    options: { spec: AgentSpec; onDrained: () => void },
  ) {
    const { target } = options.spec;
    const { room } = world.plan;
    this.#world = world;
    this.#spec = options.spec;
    this.#onDrained = options.onDrained;
    this.incarnation = world.nextId(`${target}-`);
    this.#state = admit.createAdmitState({
      incarnation: this.incarnation,
      maxInFlight: 6 * room,
      maxKeys: 30 * room,
      maxKeptBytes: 1_500 * room,
      keyRetentionMs: KEY_RETENTION_MS,
      lingerMs: 400,
      retryAfterMs: 50,
    });
    this.#calls = new TargetCalls(world, {
      name: target,
      sendFrame: (attemptId, body) => this.#sendFrame(attemptId, body),
      handleEvent: (event) => this.#handleEvent(event),
    });
    world.queue.start(target, {
      receive: (message, from) => this.#receive(message, from),
    });
    this.#register();
    this.#tick();
    this.#sendHeartbeats();
  }

  /** The target's name. */
  get name(): string {
    return this.#spec.target;
  }

  startStop(reason: admit.StopReason): void {
    this.#stopping = true;
    this.#handleEvent({ type: "stopBegan", reason });
  }

  withdrawStop(reason: admit.StopReason): void {
    this.#stopping = false;
    this.#handleEvent({ type: "stopWithdrawn", reason });
  }

  countChecks(): Readonly<Record<string, number>> {
    return admit.countChecks(this.#state);
  }

  /**
   * Registers the agent and then reads the closings. The admission core admits
   * attempts only after it has the closings.
   */
  #register(): void {
    const { store } = this.#world;
    const { incarnation } = this;
    store.call(this.name, {
      effect: () => store.registerAgent({ ...this.#spec, incarnation }),
      then: () =>
        store.call(this.name, {
          effect: () => ({
            revision: store.revision,
            incarnations: [...store.closings.keys()],
          }),
          then: ({ revision, incarnations }) => {
            this.#revision = revision;
            this.#handleEvent({ type: "closingsRead", incarnations });
            this.#pollStore();
          },
        }),
    });
  }

  #pollStore(): void {
    const { store, queue, random } = this.#world;
    store.call(this.name, {
      effect: () => store.changesSince(this.#revision),
      then: (changes) => {
        this.#revision += changes.length;
        for (const change of changes) {
          if (change.kind !== "closing") continue;
          const { incarnation } = change;
          this.#handleEvent({ type: "incarnationClosed", incarnation });
        }
        const delayMs = random.int(50, 400);
        queue.startTimer(this.name, { delayMs, run: () => this.#pollStore() });
      },
    });
  }

  #tick(): void {
    this.#handleEvent({ type: "tick" });
    const run = () => this.#tick();
    this.#world.queue.startTimer(this.name, { delayMs: TICK_INTERVAL_MS, run });
  }

  #sendHeartbeats(): void {
    this.#calls.sendHeartbeats();
    const run = () => this.#sendHeartbeats();
    this.#world.queue.startTimer(this.name, {
      delayMs: HEARTBEAT_INTERVAL_MS,
      run,
    });
  }

  #receive(message: Message, from: string): void {
    switch (message.type) {
      case "attempt":
        return this.#handleAttempt(message, from);
      case "query":
        this.#senderByRequest.set(message.attemptId, from);
        return this.#handleEvent(toQueryEvent(message));
      case "cancel":
        return this.#calls.removeListener(message.attemptId);
      case "keys":
        return this.#handleAskKeys(message, from);
      default:
        return this.#world.reportViolation("agentMessageKnown", message.type);
    }
  }

  #handleAttempt(message: AttemptMessage, from: string): void {
    const { head, keyId, agentIncarnation, operationId, suspect } = message;
    this.#senderByRequest.set(head.attemptId, from);
    const event: AdmitEvent = {
      type: "attemptArrived",
      head,
      agentIncarnation,
      suspect,
      ...(keyId === undefined ? {} : { keyId }),
    };
    const scope = keyId ?? head.requestId;
    this.#handleEvent(event, { operationId, scope });
  }

  #handleAskKeys(message: AskKeysMessage, from: string): void {
    const { askId, incarnations, agentIncarnation } = message;
    if (agentIncarnation !== this.incarnation) {
      const reply = { askId, agentIncarnation: this.incarnation, homes: [] };
      return this.#post(from, { type: "keysReply", ...reply });
    }
    this.#senderByRequest.set(askId, from);
    this.#handleEvent({ type: "keysRequested", askId, incarnations });
  }

  #handleEvent(
    event: AdmitEvent,
    work?: AttemptWork,
  ): void {
    const nowMs = this.#world.queue.clockMs(this.name);
    const { effects } = admit.step(this.#state, event, nowMs);
    for (const effect of effects) this.#performEffect(effect, work);
  }

  #performEffect(
    effect: AdmitEffect,
    work: AttemptWork | undefined,
  ): void {
    switch (effect.type) {
      case "run":
        this.#world.checkInvariant("stopTakesNothingNew", {
          holds: !this.#stopping,
          detail: effect.attemptId,
        });
        return this.#calls.run(effect.attemptId, work);
      case "join":
      case "replay":
        return this.#calls.addListener(effect);
      case "refuse": {
        const { attemptId, code, retryAfterMs } = effect;
        this.#world.countOutcome(`refused ${code}`);
        return this.#sendFrame(attemptId, {
          type: "refused",
          code,
          retryAfterMs,
          load: LOAD,
        });
      }
      case "fail":
        this.#world.countOutcome(`failed ${effect.code}`);
        return this.#sendFrame(effect.attemptId, {
          type: "failed",
          code: effect.code,
          mayHaveRun: true,
          load: LOAD,
        });
      case "evict":
        return this.#calls.evict(effect.attemptId);
      case "cancel":
        return this.#calls.cancel(effect.attemptId);
      case "answerKeys": {
        const { askId, agentIncarnation, homes } = effect;
        const reply = { askId, agentIncarnation, homes };
        return this.#post(this.#senderByRequest.get(askId) ?? "", {
          type: "keysReply",
          ...reply,
        });
      }
      case "drained":
        this.#world.checkInvariant("drainCutsNothing", {
          holds: this.#calls.isIdle,
          detail: this.incarnation,
        });
        return this.#onDrained();
      case "violation":
        return this.#world.reportViolation(effect.invariant, effect.detail);
    }
  }

  #sendFrame(attemptId: string, body: FrameBody): void {
    const to = this.#senderByRequest.get(attemptId) ?? "";
    const frame = { ...body, attemptId } as AttemptFrame;
    this.#post(to, { type: "frame", frame });
  }

  #post(to: string, message: Message): void {
    this.#world.queue.post({ from: this.name, to }, message);
  }
}

function toQueryEvent(message: QueryMessage): AdmitEvent {
  const { attemptId, keyId, fingerprint, agentIncarnation } = message;
  const query = { attemptId, fingerprint, agentIncarnation };
  const queryWithKey = keyId === undefined ? query : { ...query, keyId };
  return { type: "attemptQueried", ...queryWithKey };
}
