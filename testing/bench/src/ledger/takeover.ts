/** A takeover of a dead entry's keys, with an agent core for each agent. */

import * as admit from "@dandelionbank/admit-attempts";
import { MessageQueue } from "@dandelionbank/message-queue";
import * as takeOver from "@dandelionbank/take-over-keys";
import { digestKey } from "@dandelionbank/digest-bodies";
import { createHead, createKey } from "./fixtures.ts";

const KEYS_PER_AGENT = 20;
const LEASE_MS = 1_000;
const STORE_MS = 10;
const TICK_MS = 25;
const LIMIT_MS = 20_000;
const SUCCESSOR = "successor";
const LOST = "lost";

export interface TakeoverOptions {
  readonly seed: number;
  readonly agents: number;
  readonly maxAsks: number;
}

export interface TakeoverFigures {
  /** From the decision to close the incarnation. */
  readonly decidedMs: number;
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
  readonly #sightings: readonly takeOver.RegisteredAgent[];
  #bytes = 0;
  #decided: TakeoverFigures | undefined;

  constructor(options: TakeoverOptions) {
    this.#queue = MessageQueue.create({
      seed: options.seed,
      faults: { minDelayMs: 1, maxDelayMs: 20 },
    });
    this.#sightings = Array.from({ length: options.agents }, (_, at) => ({
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
      maxConcurrentAsks: options.maxAsks,
    });
  }

  run(): TakeoverFigures {
    for (const sighting of this.#sightings) this.#startAgent(sighting);
    this.#queue.start(SUCCESSOR, {
      receive: (message) => {
        if (message.type !== "answerKeys") return;
        this.#feed({ ...message, type: "keysReported" });
      },
    });
    const agents = this.#sightings;
    this.#feed({ type: "viewReset", revision: 1, agents });
    this.#feed({ type: "ownLeaseRenewed", untilMs: LIMIT_MS });
    this.#feed({ type: "entryLost", incarnation: LOST });
    this.#tick();
    this.#queue.runUntilQuiet({ limitMs: LIMIT_MS });
    if (this.#decided === undefined) throw new Error("Nothing was decided");
    return this.#decided;
  }

  #startAgent(sighting: takeOver.RegisteredAgent): void {
    const { target, incarnation } = sighting;
    const state = createAgent(incarnation);
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
    if (this.#decided !== undefined) return;
    this.#feed({ type: "tick" });
    const run = () => this.#tick();
    this.#queue.startTimer(SUCCESSOR, { delayMs: TICK_MS, run });
  }

  #feed(event: takeOver.TakeOverEvent): void {
    const { nowMs } = this.#queue;
    const { effects } = takeOver.step(this.#state, event, nowMs);
    for (const effect of effects) this.#apply(effect);
  }

  #apply(effect: takeOver.TakeOverEffect): void {
    switch (effect.type) {
      case "writeClosing": {
        const { incarnation } = effect;
        return this.#afterStore({ type: "closingWritten", incarnation });
      }
      case "listAgents":
        return this.#afterStore({
          type: "agentsListed",
          incarnation: effect.incarnation,
          revision: 1,
          agents: this.#sightings,
        });
      case "askKeys":
        return this.#post({ from: SUCCESSOR, to: effect.target }, effect);
      case "takeoverCompleted":
        this.#decided = {
          decidedMs: this.#queue.nowMs,
          messages: this.#queue.counts.posted,
          bytes: this.#bytes,
          heldKeys: effect.heldKeys,
        };
    }
  }

  #afterStore(event: takeOver.TakeOverEvent): void {
    const run = () => this.#feed(event);
    this.#queue.startTimer(SUCCESSOR, { delayMs: STORE_MS, run });
  }

  #post(
    link: { readonly from: string; readonly to: string },
    message: Ask | Answer,
  ): void {
    this.#bytes += JSON.stringify(message).length;
    this.#queue.post(link, message);
  }
}

function createAgent(incarnation: string): admit.AdmitState {
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
    const key = createKey(number, LOST);
    const attemptId = `${LOST}.${number}`;
    const head = { ...createHead(key), attemptId, entryIncarnation: LOST };
    admit.step(state, {
      type: "attemptArrived",
      head,
      keyId: digestKey(incarnation, key),
      agentIncarnation: incarnation,
    }, 0);
  }
  return state;
}
