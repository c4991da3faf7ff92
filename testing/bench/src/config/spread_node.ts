/** A process of the measurement of spreading: the real core and its calls. */

import {
  createSpreadState,
  stepSpread,
} from "@dandelionbank/spread-configuration";
import type {
  SpreadEffect,
  SpreadEvent,
  SpreadState,
} from "@dandelionbank/spread-configuration";
import type { ViewDelta, ViewMessage } from "@dandelionbank/types";
import type { PlatformFake } from "./platform_fake.ts";

/** As long as the random part of a real one. */
const INCARNATION_SUFFIX = "0123456789abcdef";

export interface SpreadNodeOptions {
  readonly name: string;
  readonly turn: number;
  readonly entries: readonly string[];
  readonly nowMs: () => number;
  readonly platform: PlatformFake;
  readonly post: (to: string, message: ViewMessage) => void;
}

export class SpreadNode {
  readonly #options: SpreadNodeOptions;
  readonly #state: SpreadState;
  onAdvanced: (revision: number) => void = () => {};

  private constructor(options: SpreadNodeOptions) {
    const { name, turn } = options;
    this.#options = options;
    const incarnation = `${name}-${INCARNATION_SUFFIX}`;
    this.#state = createSpreadState({ name, pollOffset: turn, incarnation });
  }

  static create(options: SpreadNodeOptions): SpreadNode {
    return new SpreadNode(options);
  }

  receive(message: ViewMessage): void {
    this.#step({ type: "received", message });
  }

  watched(delta: ViewDelta): void {
    this.#step({ type: "watchDelivered", delta });
  }

  tick(): void {
    const { entries } = this.#options;
    if (this.#state.entries.length === 0) {
      this.#step({ type: "entriesChanged", entries });
    }
    this.#step({ type: "tick" });
  }

  #step(event: SpreadEvent): void {
    const nowMs = this.#options.nowMs();
    const { effects } = stepSpread(this.#state, event, nowMs);
    for (const effect of effects) this.#perform(effect);
  }

  #perform(effect: SpreadEffect): void {
    const { name, platform, post, nowMs } = this.#options;
    switch (effect.type) {
      case "send":
        return post(effect.to, effect.message);
      case "watchChanged":
        return platform.watch(name);
      case "viewAdvanced":
        return this.onAdvanced(effect.revision);
      case "invariantViolated":
        throw new Error(`${effect.invariant}: ${effect.detail}`);
      case "readPlatform":
        return this.#read(effect.listAll, nowMs());
    }
  }

  #read(whole: boolean, askedAtMs: number): void {
    const { name, platform } = this.#options;
    platform.read(name, (delta) => {
      const { revision } = delta;
      if (whole) this.#step({ type: "platformRead", askedAtMs, delta });
      else this.#step({ type: "revisionRead", askedAtMs, revision });
    });
  }
}
