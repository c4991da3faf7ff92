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
import { createTextDigest } from "./text_digest.ts";
import { answerParts, type Operation, type World } from "./world.ts";

const LOAD = { inFlight: 0, queued: 0, cachedTokens: 0 };

/** Share of calls that a target fails before it begins, midway, or stalls in. */
const FAILS_BEFORE = 0.03;
const FAILS_MIDWAY = 0.03;
const STALLS = 0.04;
const STALL_MS = 2_500;

type Body = AttemptFrame extends infer Frame
  ? Frame extends AttemptFrame ? Omit<Frame, "attemptId"> : never
  : never;

/** One call on the target, and who gets its frames. */
interface Call {
  readonly frames: Body[];
  readonly listeners: Map<string, string>;
  open: boolean;
}

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
  readonly #calls = new Map<string, Call>();
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
      keyLifeMs: KEY_LIFE_MS,
      lingerMs: 400,
      retryAfterMs: 50,
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
    for (const call of this.#calls.values()) {
      if (call.open) this.#sendFrame(call, { type: "heartbeat" });
    }
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
        return this.#takeCancel(message.attemptId);
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

  #takeCancel(attemptId: string): void {
    for (const [answeredBy, call] of this.#calls) {
      if (!call.listeners.delete(attemptId)) continue;
      this.#feed({ type: "listenerLeft", attemptId, answeredBy });
    }
  }

  #takeKeys(message: KeysMessage, from: string): void {
    const { askId, incarnations, agentIncarnation } = message;
    if (agentIncarnation !== this.incarnation) {
      const reply = { askId, agentIncarnation: this.incarnation, homes: [] };
      return this.#post(from, { type: "keysReply", ...reply });
    }
    this.#senders.set(askId, from);
    this.#feed({ type: "keysAsked", askId, incarnations });
  }

  #feed(
    event: AdmitEvent,
    work?: { readonly operationId: string; readonly scope: string },
  ): void {
    const nowMs = this.#world.queue.clockMs(this.name);
    const { effects } = admit.step(this.#state, event, nowMs);
    for (const effect of effects) this.#apply(effect, work);
  }

  #apply(
    effect: AdmitEffect,
    work: { readonly operationId: string; readonly scope: string } | undefined,
  ): void {
    switch (effect.type) {
      case "run":
        return this.#run(effect.attemptId, work);
      case "join":
      case "replay":
        return this.#listen(effect);
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
      case "forget":
        this.#calls.delete(effect.attemptId);
        return;
      case "cancel":
        return this.#endCall(effect.attemptId, failedBody("cancelled", true));
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
          holds: ![...this.#calls.values()].some(({ open }) => open),
          detail: this.incarnation,
        });
        return this.#onDrained();
      case "violation":
        return this.#world.violate(effect.invariant, effect.detail);
    }
  }

  #run(
    attemptId: string,
    work: { readonly operationId: string; readonly scope: string } | undefined,
  ): void {
    const operation = this.#world.operations.get(work?.operationId ?? "");
    if (operation === undefined || work === undefined) {
      return this.#world.violate("runHasOperation", attemptId);
    }
    this.#world.check("stopTakesNothingNew", {
      holds: !this.#stopping,
      detail: attemptId,
    });
    const to = this.#senders.get(attemptId) ?? "";
    const call: Call = {
      frames: [{ type: "admitted", answeredBy: attemptId }],
      listeners: new Map([[attemptId, to]]),
      open: true,
    };
    this.#calls.set(attemptId, call);
    this.#sendFrame(call, call.frames[0]!);
    this.#later(() => this.#begin({ attemptId, operation, scope: work.scope }));
  }

  #begin(
    begun: { attemptId: string; operation: Operation; scope: string },
  ): void {
    const { attemptId, operation, scope } = begun;
    const { random, plan: { targetsFail } } = this.#world;
    if (this.#calls.get(attemptId)?.open !== true) return;
    if (targetsFail && random.chance(FAILS_BEFORE)) {
      this.#world.fault("targetFailsBefore");
      return this.#endCall(attemptId, failedBody("targetFailed", false));
    }
    const execution = this.#world.execute(operation, scope);
    if (operation.kills) return this.#crashTarget();
    const parts = answerParts(operation, execution);
    const digest = createTextDigest();
    parts.forEach((part) => digest.add(part, "utf8"));
    const bodies: Body[] = [
      { type: "head", status: 200, contentType: "t", encoding: "utf8" },
      ...parts.map((data, sequence) =>
        ({ type: "data", sequence, data }) as const
      ),
    ];
    const { lengthBytes } = digest;
    const end = { lengthBytes, digest: digest.finish(), load: LOAD };
    this.#stream(attemptId, [...bodies, { type: "end", ...end }]);
  }

  /** The target's process dies with all that it runs, and is started again. */
  #crashTarget(): void {
    this.#world.fault("targetCrashed");
    for (const attemptId of [...this.#calls.keys()]) {
      this.#endCall(attemptId, failedBody("targetDied", true));
    }
  }

  #stream(attemptId: string, bodies: readonly Body[]): void {
    const [body, ...rest] = bodies;
    const call = this.#calls.get(attemptId);
    if (body === undefined || call?.open !== true) return;
    const { random, plan: { targetsFail } } = this.#world;
    if (targetsFail && random.chance(FAILS_MIDWAY / 5)) {
      this.#world.fault("targetFailsMidway");
      return this.#endCall(attemptId, failedBody("targetFailed", true));
    }
    if (body.type === "end") return this.#endCall(attemptId, body);
    call.frames.push(body);
    this.#sendFrame(call, body);
    this.#later(() => this.#stream(attemptId, rest));
  }

  #endCall(attemptId: string, body: Body): void {
    const call = this.#calls.get(attemptId);
    if (call?.open !== true) return;
    call.open = false;
    call.frames.push(body);
    this.#sendFrame(call, body);
    if (body.type === "end") {
      const answerBytes = body.lengthBytes;
      return this.#feed({ type: "runEnded", attemptId, answerBytes });
    }
    const mayHaveRun = body.type !== "failed" || body.mayHaveRun;
    this.#calls.delete(attemptId);
    this.#feed({ type: "runFailed", attemptId, mayHaveRun });
  }

  #listen(effect: { attemptId: string; answeredBy: string }): void {
    const { attemptId, answeredBy } = effect;
    const call = this.#calls.get(answeredBy);
    if (call === undefined) {
      return this.#world.violate("answerIsKept", `${attemptId} ${answeredBy}`);
    }
    const to = this.#senders.get(attemptId) ?? "";
    call.listeners.set(attemptId, to);
    for (const body of call.frames) this.#answer(attemptId, body);
  }

  #sendFrame(call: Call, body: Body): void {
    for (const attemptId of call.listeners.keys()) {
      this.#answer(attemptId, body);
    }
  }

  #answer(attemptId: string, body: Body): void {
    const to = this.#senders.get(attemptId) ?? "";
    const frame = { ...body, attemptId } as AttemptFrame;
    this.#post(to, { type: "frame", frame });
  }

  #later(run: () => void): void {
    const { random, queue, plan: { targetsFail } } = this.#world;
    const stalls = targetsFail && random.chance(STALLS / 5);
    if (stalls) this.#world.fault("targetStalls");
    const { slowestPartMs } = this.#world;
    const delayMs = stalls ? STALL_MS : random.int(1, slowestPartMs);
    queue.startTimer(this.name, { delayMs, run });
  }

  #post(to: string, message: Message): void {
    this.#world.queue.post({ from: this.name, to }, message);
  }
}

function toAsked(message: AskMessage): AdmitEvent {
  const { attemptId, keyId, fingerprint, agentIncarnation } = message;
  const asked = { attemptId, fingerprint, agentIncarnation };
  const keyed = keyId === undefined ? asked : { ...asked, keyId };
  return { type: "attemptAsked", ...keyed };
}

function failedBody(code: string, mayHaveRun: boolean): Body {
  return { type: "failed", code, mayHaveRun, load: LOAD };
}
