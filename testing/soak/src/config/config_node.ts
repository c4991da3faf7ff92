/** A simulated process: the configuration spreading core and its platform client. */

import {
  createSpreadState,
  mayAcceptWork,
  stepSpread,
} from "@dandelionbank/spread-configuration";
import type {
  SpreadEffect,
  SpreadEvent,
  SpreadState,
} from "@dandelionbank/spread-configuration";
import type { ViewDelta } from "@dandelionbank/types";
import type { ConfigMessage } from "./store_node.ts";

export interface ConfigNodeOptions {
  readonly name: string;
  readonly incarnation: string;
  /** Position among all processes, so that they poll different entries. */
  readonly pollOffset: number;
  readonly entries: readonly string[];
  readonly clockMs: () => number;
  readonly post: (to: string, message: ConfigMessage) => void;
  /** Reads the store and passes the result on later; without a delta, the read failed. */
  readonly readStore: (onResult: (delta?: ViewDelta) => void) => void;
  readonly reportViolation: (detail: string) => void;
}

export class ConfigNode {
  readonly #options: ConfigNodeOptions;
  readonly #state: SpreadState;

  private constructor(options: ConfigNodeOptions) {
    this.#options = options;
    this.#state = createSpreadState({
      name: options.name,
      incarnation: options.incarnation,
      pollOffset: options.pollOffset,
    });
  }

  static create(options: ConfigNodeOptions): ConfigNode {
    return new ConfigNode(options);
  }

  get revision(): number {
    return this.#state.table.revision;
  }

  get mayAcceptWork(): boolean {
    return mayAcceptWork(this.#state, this.#options.clockMs());
  }

  /** Describes every object by its name, UID and revision, sorted by name. */
  describeObjects(): string {
    return [...this.#state.table.list()]
      .map(({ name, uid, revision }) => `${name} ${uid} ${revision}`)
      .sort()
      .join(", ");
  }

  start(): void {
    const { entries } = this.#options;
    this.#step({ type: "entriesChanged", entries });
  }

  tick(): void {
    this.#step({ type: "tick" });
  }

  receive(message: ConfigMessage): void {
    switch (message.type) {
      case "watchStore":
        return;
      case "watchedChange":
        return this.#step({ type: "watchDelivered", delta: message.delta });
      default:
        return this.#step({ type: "received", message });
    }
  }

  #step(event: SpreadEvent): void {
    const before = this.revision;
    const { effects } = stepSpread(
      this.#state,
      event,
      this.#options.clockMs(),
    );
    if (this.revision < before) {
      this.#options.reportViolation(`revision fell from ${before}`);
    }
    for (const effect of effects) this.#performEffect(effect);
  }

  #performEffect(effect: SpreadEffect): void {
    const { name, post } = this.#options;
    switch (effect.type) {
      case "send":
        return post(effect.to, effect.message);
      case "readPlatform":
        return this.#readStore(effect.listAll);
      case "watchChanged":
        return post("store", {
          type: "watchStore",
          node: name,
          watching: effect.watching,
        });
      case "invariantViolated":
        return this.#options.reportViolation(
          `${effect.invariant}: ${effect.detail}`,
        );
    }
  }

  #readStore(listAll: boolean): void {
    const { clockMs, readStore } = this.#options;
    const askedAtMs = clockMs();
    readStore((delta) => {
      if (delta === undefined) {
        return this.#step({ type: "readFailed", askedAtMs });
      }
      const { revision } = delta;
      if (listAll) {
        this.#step({ type: "platformRead", askedAtMs, delta });
      } else {
        this.#step({ type: "revisionRead", askedAtMs, revision });
      }
    });
  }
}
