/** An agent of the soak `requests`, and the target behind it. */

import * as admit from "@dandelionbank/admit-attempts";
import type { AdmitEffect, AdmitEvent } from "@dandelionbank/admit-attempts";
import type { AttemptFrame } from "@dandelionbank/types";
import type {
  AskMessage,
  AttemptMessage,
  KeysMessage,
  Message,
} from "./messages.ts";
import { HEARTBEAT_MS, KEY_LIFE_MS, TICK_MS } from "./settings.ts";
import {
  type FrameBody,
  LOAD,
  TargetCalls,
  type Work,
} from "./target_calls.ts";
import type { World } from "./world.ts";

export interface AgentPlace {
  readonly target: string;
  readonly pool: string;
}

/** One life of an agent's process. */
export class AgentNode {
  readonly incarnation: string;
  readonly #world: World;
  readonly #place: AgentPlace;
  readonly #state: admit.AdmitState;
  readonly #calls: TargetCalls;
  /** The arrivals that wait for the core's word, by attempt. */
  readonly #senders = new Map<string, string>();
  #revision = 0;
  #stopping = false;
  readonly #onDrained: () => void;

  constructor(
    world: World,
    options: { place: AgentPlace; onDrained: () => void },
  ) {
    const { target } = options.place;
    const { room } = world.plan;
    this.#world = world;
    this.#place = options.place;
    this.#onDrained = options.onDrained;
    this.incarnation = world.nextId(`${target}-`);
    this.#state = admit.createAdmitState({
      incarnation: this.incarnation,
      maxInFlight: 6 * room,
      maxKeys: 30 * room,
      maxKeptBytes: 1_500 * room,
      keyRetentionMs: KEY_LIFE_MS,
      lingerMs: 400,
      retryAfterMs: 50,
    });
    this.#calls = new TargetCalls(world, {
      name: target,
      answer: (attemptId, body) => this.#answer(attemptId, body),
      feed: (event) => this.#feed(event),
    });
    world.queue.start(target, {
      receive: (message, from) => this.#receive(message, from),
    });
    this.#register();
    this.#tick();
    this.#beat();
  }

  /** The target's name. */
  get name(): string {
    return this.#place.target;
  }

  beginStop(reason: admit.StopReason): void {
    this.#stopping = true;
    this.#feed({ type: "stopBegan", reason });
  }

  withdrawStop(reason: admit.StopReason): void {
    this.#stopping = false;
    this.#feed({ type: "stopWithdrawn", reason });
  }

  countChecks(): Readonly<Record<string, number>> {
    return admit.countChecks(this.#state);
  }

  /** Registers first, reads the closings after it, and then takes work. */
  #register(): void {
    const { store } = this.#world;
    const { incarnation } = this;
    store.call(this.name, {
      effect: () => store.registerAgent({ ...this.#place, incarnation }),
      then: () =>
        store.call(this.name, {
          effect: () => ({
            revision: store.revision,
            incarnations: [...store.closings.keys()],
          }),
          then: ({ revision, incarnations }) => {
            this.#revision = revision;
            this.#feed({ type: "closingsRead", incarnations });
            this.#sync();
          },
        }),
    });
  }

  #sync(): void {
    const { store, queue, random } = this.#world;
    store.call(this.name, {
      effect: () => store.changesSince(this.#revision),
      then: (changes) => {
        this.#revision += changes.length;
        for (const change of changes) {
          if (change.kind !== "closing") continue;
          const { incarnation } = change;
          this.#feed({ type: "incarnationClosed", incarnation });
        }
        const delayMs = random.int(50, 400);
        queue.startTimer(this.name, { delayMs, run: () => this.#sync() });
      },
    });
  }

  #tick(): void {
    this.#feed({ type: "tick" });
    const run = () => this.#tick();
    this.#world.queue.startTimer(this.name, { delayMs: TICK_MS, run });
  }

  #beat(): void {
    this.#calls.beat();
    const run = () => this.#beat();
    this.#world.queue.startTimer(this.name, { delayMs: HEARTBEAT_MS, run });
  }

  #receive(message: Message, from: string): void {
    switch (message.type) {
      case "attempt":
        return this.#takeAttempt(message, from);
      case "ask":
        this.#senders.set(message.attemptId, from);
        return this.#feed(toAsked(message));
      case "cancel":
        return this.#calls.leave(message.attemptId);
      case "keys":
        return this.#takeKeys(message, from);
      default:
        return this.#world.violate("agentMessageKnown", message.type);
    }
  }

  #takeAttempt(message: AttemptMessage, from: string): void {
    const { head, keyId, agentIncarnation, operationId, suspect } = message;
    this.#senders.set(head.attemptId, from);
    const event: AdmitEvent = {
      type: "attemptArrived",
      head,
      agentIncarnation,
      suspect,
      ...(keyId === undefined ? {} : { keyId }),
    };
    const scope = keyId ?? head.requestId;
    this.#feed(event, { operationId, scope });
  }

  #takeKeys(message: KeysMessage, from: string): void {
    const { askId, incarnations, agentIncarnation } = message;
    if (agentIncarnation !== this.incarnation) {
      const reply = { askId, agentIncarnation: this.incarnation, homes: [] };
      return this.#post(from, { type: "keysReply", ...reply });
    }
    this.#senders.set(askId, from);
    this.#feed({ type: "keysRequested", askId, incarnations });
  }

  #feed(
    event: AdmitEvent,
    work?: Work,
  ): void {
    const nowMs = this.#world.queue.clockMs(this.name);
    const { effects } = admit.step(this.#state, event, nowMs);
    for (const effect of effects) this.#apply(effect, work);
  }

  #apply(
    effect: AdmitEffect,
    work: Work | undefined,
  ): void {
    switch (effect.type) {
      case "run":
        this.#world.check("stopTakesNothingNew", {
          holds: !this.#stopping,
          detail: effect.attemptId,
        });
        return this.#calls.run(effect.attemptId, work);
      case "join":
      case "replay":
        return this.#calls.listen(effect);
      case "refuse": {
        const { attemptId, code, retryAfterMs } = effect;
        this.#world.outcome(`refused ${code}`);
        return this.#answer(attemptId, {
          type: "refused",
          code,
          retryAfterMs,
          load: LOAD,
        });
      }
      case "fail":
        this.#world.outcome(`failed ${effect.code}`);
        return this.#answer(effect.attemptId, {
          type: "failed",
          code: effect.code,
          mayHaveRun: true,
          load: LOAD,
        });
      case "evict":
        return this.#calls.forget(effect.attemptId);
      case "cancel":
        return this.#calls.cancel(effect.attemptId);
      case "answerKeys": {
        const { askId, agentIncarnation, homes } = effect;
        const reply = { askId, agentIncarnation, homes };
        return this.#post(this.#senders.get(askId) ?? "", {
          type: "keysReply",
          ...reply,
        });
      }
      case "drained":
        this.#world.check("drainCutsNothing", {
          holds: this.#calls.isIdle,
          detail: this.incarnation,
        });
        return this.#onDrained();
      case "violation":
        return this.#world.violate(effect.invariant, effect.detail);
    }
  }

  #answer(attemptId: string, body: FrameBody): void {
    const to = this.#senders.get(attemptId) ?? "";
    const frame = { ...body, attemptId } as AttemptFrame;
    this.#post(to, { type: "frame", frame });
  }

  #post(to: string, message: Message): void {
    this.#world.queue.post({ from: this.name, to }, message);
  }
}

function toAsked(message: AskMessage): AdmitEvent {
  const { attemptId, keyId, fingerprint, agentIncarnation } = message;
  const asked = { attemptId, fingerprint, agentIncarnation };
  const keyed = keyId === undefined ? asked : { ...asked, keyId };
  return { type: "attemptQueried", ...keyed };
}
