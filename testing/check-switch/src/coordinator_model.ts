/** Memoised steps of coordinators, by the ids of state and message. */

import type { CoordinatorState } from "@dandelionbank/switch-map";
import { stepCoordinator } from "@dandelionbank/switch-map";
import type { Interner } from "./interner.ts";
import { internAll, KEYS_PER_STATE, TICK } from "./keys.ts";
import type { SentMessage } from "./rank_node.ts";
import { ENDED } from "./world.ts";

export interface CoordinatorResult {
  /** Id of the new state; `ENDED` once the proposal is settled. */
  readonly id: number;
  readonly sent: readonly number[];
}

export class CoordinatorModel {
  readonly #states: Interner<CoordinatorState>;
  readonly #messages: Interner<SentMessage>;
  readonly #results = new Map<number, CoordinatorResult>();

  static create(
    states: Interner<CoordinatorState>,
    messages: Interner<SentMessage>,
  ): CoordinatorModel {
    return new CoordinatorModel(states, messages);
  }

  private constructor(
    states: Interner<CoordinatorState>,
    messages: Interner<SentMessage>,
  ) {
    this.#states = states;
    this.#messages = messages;
  }

  /** Steps an interned coordinator; `key` is a message id or `TICK`. */
  step(id: number, key: number): CoordinatorResult {
    const cacheKey = id * KEYS_PER_STATE + key + 2;
    const cached = this.#results.get(cacheKey);
    if (cached !== undefined) return cached;
    const result = this.#compute(id, key);
    this.#results.set(cacheKey, result);
    return result;
  }

  #compute(id: number, key: number): CoordinatorResult {
    const event = key === TICK ? { type: "tick" } as const : {
      type: "message",
      message: this.#messages.get(key).message,
    } as const;
    const { state, effects } = stepCoordinator(this.#states.get(id), event, 0);
    if (effects.some((effect) => effect.type === "switchSettled")) {
      return { id: ENDED, sent: [] };
    }
    const sent = effects.filter((effect) => effect.type === "send");
    return {
      id: this.#states.intern(state),
      sent: internAll(this.#messages, sent),
    };
  }
}
