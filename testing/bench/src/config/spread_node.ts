/** Simulated process that runs the product's state machine for spreading views. */

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
import type { FakePlatform } from "./platform_fake.ts";

/** As long as the random part of a real incarnation. */
const INCARNATION_SUFFIX = "0123456789abcdef";

export interface SpreadNodeOptions {
  readonly name: string;
  readonly index: number;
  readonly entries: readonly string[];
  readonly nowMs: () => number;
  readonly platform: FakePlatform;
  readonly post: (to: string, message: ViewMessage) => void;
}

export class SpreadNode {
  readonly #options: SpreadNodeOptions;
  readonly #state: SpreadState;
  onRevision: (revision: number) => void = () => {};

  private constructor(options: SpreadNodeOptions) {
    const { name, index } = options;
    this.#options = options;
    const incarnation = `${name}-${INCARNATION_SUFFIX}`;
    this.#state = createSpreadState({ name, pollOffset: index, incarnation });
  }

  static create(options: SpreadNodeOptions): SpreadNode {
    return new SpreadNode(options);
  }

  receive(message: ViewMessage): void {
    this.#step({ type: "received", message });
  }

  applyWatchDelta(delta: ViewDelta): void {
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
    for (const effect of effects) this.#performEffect(effect);
  }

  #performEffect(effect: SpreadEffect): void {
    const { name, platform, post, nowMs } = this.#options;
    switch (effect.type) {
      case "send":
        return post(effect.to, effect.message);
      case "watchChanged":
        return platform.watch(name);
      case "viewAdvanced":
        return this.onRevision(effect.revision);
      case "invariantViolated":
        throw new Error(`${effect.invariant}: ${effect.detail}`);
      case "readPlatform":
        return this.#read(effect.listAll, nowMs());
    }
  }

  #read(listAll: boolean, askedAtMs: number): void {
    const { name, platform } = this.#options;
    platform.readAll(name, (delta) => {
      const { revision } = delta;
      if (listAll) this.#step({ type: "platformRead", askedAtMs, delta });
      else this.#step({ type: "revisionRead", askedAtMs, revision });
    });
  }
}
