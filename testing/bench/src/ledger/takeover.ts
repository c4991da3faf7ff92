/** Takeover of a failed entry's keys in virtual time, with a state machine per agent. */

import * as admit from "@dandelionbank/admit-attempts";
import { MessageQueue } from "@dandelionbank/message-queue";
import * as takeOver from "@dandelionbank/take-over-keys";
import { digestKey } from "@dandelionbank/digest-bodies";
import { createHead, createKey } from "./fixtures.ts";

const KEYS_PER_AGENT = 20;
const LEASE_MS = 1_000;
/** Time until the platform's store answers. */
const STORE_DELAY_MS = 10;
const TICK_INTERVAL_MS = 25;
const TIME_LIMIT_MS = 20_000;
const SUCCESSOR = "successor";
const LOST_INCARNATION = "lost";

export interface TakeoverOptions {
  readonly seed: number;
  readonly agents: number;
  readonly maxConcurrentAsks: number;
}

export interface TakeoverFigures {
  /** Virtual time from the report of the entry's loss to the end of the takeover. */
  readonly completedMs: number;
  readonly messages: number;
  readonly bytes: number;
  readonly heldKeys: number;
}

type Ask = Extract<takeOver.TakeOverEffect, { type: "askKeys" }>;
type Answer = Extract<admit.AdmitEffect, { type: "answerKeys" }>;

export function measureTakeover(options: TakeoverOptions): TakeoverFigures {
  return new TakeoverRun(options).run();
}

class TakeoverRun {
  readonly #queue: MessageQueue<Ask | Answer>;
  readonly #state: takeOver.TakeOverState;
  readonly #agents: readonly takeOver.RegisteredAgent[];
  #bytes = 0;
  #figures: TakeoverFigures | undefined;

  constructor(options: TakeoverOptions) {
    this.#queue = MessageQueue.create({
      seed: options.seed,
      faults: { minDelayMs: 1, maxDelayMs: 20 },
    });
    this.#agents = Array.from({ length: options.agents }, (_, at) => ({
      target: `target${at}`,
      pool: `pool${at % 14}`,
      incarnation: `agent${at}`,
    }));
    this.#state = takeOver.createTakeOverState({
      incarnation: SUCCESSOR,
      leaseMs: LEASE_MS,
      askTimeoutMs: 500,
      unreachableAfterMs: 1_500,
      keyRetentionMs: 120_000,
      maxConcurrentAsks: options.maxConcurrentAsks,
    });
  }

  run(): TakeoverFigures {
    for (const agent of this.#agents) this.#startAgent(agent);
    this.#queue.start(SUCCESSOR, {
      receive: (message) => {
        if (message.type !== "answerKeys") return;
        this.#stepSuccessor({ ...message, type: "keysReported" });
      },
    });
    const agents = this.#agents;
    this.#stepSuccessor({ type: "viewReset", revision: 1, agents });
    this.#stepSuccessor({ type: "ownLeaseRenewed", untilMs: TIME_LIMIT_MS });
    this.#stepSuccessor({ type: "entryLost", incarnation: LOST_INCARNATION });
    this.#tick();
    this.#queue.runUntilQuiet({ limitMs: TIME_LIMIT_MS });
    if (this.#figures === undefined) {
      throw new Error(`Takeover not completed within ${TIME_LIMIT_MS} ms`);
    }
    return this.#figures;
  }

  #startAgent(agent: takeOver.RegisteredAgent): void {
    const { target, incarnation } = agent;
    const state = createAgentState(incarnation);
    this.#queue.start(target, {
      receive: (message, from) => {
        if (message.type !== "askKeys") return;
        const { askId, incarnations } = message;
        const event = { type: "keysRequested", askId, incarnations } as const;
        for (const effect of admit.step(state, event, 0).effects) {
          if (effect.type !== "answerKeys") continue;
          this.#post({ from: target, to: from }, effect);
        }
      },
    });
  }

  #tick(): void {
    if (this.#figures !== undefined) return;
    this.#stepSuccessor({ type: "tick" });
    const run = () => this.#tick();
    this.#queue.startTimer(SUCCESSOR, { delayMs: TICK_INTERVAL_MS, run });
  }

  #stepSuccessor(event: takeOver.TakeOverEvent): void {
    const { nowMs } = this.#queue;
    const { effects } = takeOver.step(this.#state, event, nowMs);
    for (const effect of effects) this.#performEffect(effect);
  }

  #performEffect(effect: takeOver.TakeOverEffect): void {
    switch (effect.type) {
      case "writeClosing": {
        const { incarnation } = effect;
        return this.#scheduleStoreAnswer({
          type: "closingWritten",
          incarnation,
        });
      }
      case "listAgents":
        return this.#scheduleStoreAnswer({
          type: "agentsListed",
          incarnation: effect.incarnation,
          revision: 1,
          agents: this.#agents,
        });
      case "askKeys":
        return this.#post({ from: SUCCESSOR, to: effect.target }, effect);
      case "takeoverCompleted":
        this.#figures = {
          completedMs: this.#queue.nowMs,
          messages: this.#queue.counts.posted,
          bytes: this.#bytes,
          heldKeys: effect.heldKeys,
        };
    }
  }

  #scheduleStoreAnswer(event: takeOver.TakeOverEvent): void {
    const run = () => this.#stepSuccessor(event);
    this.#queue.startTimer(SUCCESSOR, { delayMs: STORE_DELAY_MS, run });
  }

  #post(
    link: { readonly from: string; readonly to: string },
    message: Ask | Answer,
  ): void {
    this.#bytes += JSON.stringify(message).length;
    this.#queue.post(link, message);
  }
}

function createAgentState(incarnation: string): admit.AdmitState {
  const state = admit.createAdmitState({
    incarnation,
    maxInFlight: KEYS_PER_AGENT,
    maxKeys: KEYS_PER_AGENT,
    maxKeptBytes: 1_000_000,
    keyRetentionMs: 120_000,
    lingerMs: 1_000,
    retryAfterMs: 100,
  });
  admit.step(state, { type: "closingsRead", incarnations: [] }, 0);
  for (let number = 1; number <= KEYS_PER_AGENT; number++) {
    const key = createKey(number, LOST_INCARNATION);
    const attemptId = `${LOST_INCARNATION}.${number}`;
    const head = {
      ...createHead(key),
      attemptId,
      entryIncarnation: LOST_INCARNATION,
    };
    admit.step(state, {
      type: "attemptArrived",
      head,
      keyId: digestKey(incarnation, key),
      agentIncarnation: incarnation,
    }, 0);
  }
  return state;
}
