/** An entry of the measurement of limits: the real cores for all its organisations. */

import {
  createShareCoordinator,
  createShareHolder,
  NO_SHARE,
  stepShareCoordinator,
  stepShareHolder,
} from "@dandelionbank/grant-allowances";
import type {
  ShareCoordinatorEvent,
  ShareHolderEvent,
} from "@dandelionbank/grant-allowances";
import type {
  AllowanceMessage,
  LimitShare,
  ShareHolding,
} from "@dandelionbank/types";
import type { OrganisationTraffic } from "./limit_traffic.ts";

/** As long as the random part of a real one. */
const INCARNATION_SUFFIX = "0123456789abcdef";
const SETTLE_MS = 10_000;
const NOTHING_HELD: ShareHolding = {
  reserved: NO_SHARE,
  lent: [],
  borrowed: [],
};

export interface LimitsEntryOptions {
  readonly name: string;
  readonly traffic: readonly OrganisationTraffic[];
  readonly nowMs: () => number;
  readonly post: (to: string, message: AllowanceMessage) => void;
}

export class LimitsEntry {
  readonly #options: LimitsEntryOptions;
  readonly #holding;
  readonly #division;
  readonly #held = new Map<string, ShareHolding>();

  private constructor(options: LimitsEntryOptions) {
    const { name } = options;
    const incarnation = `${name}-${INCARNATION_SUFFIX}`;
    this.#options = options;
    this.#holding = createShareHolder({
      entry: name,
      incarnation,
      settleMs: SETTLE_MS,
    });
    this.#division = createShareCoordinator({
      coordinator: name,
      incarnation,
    });
    this.#hold({ type: "freshnessUpdated", freshUntilMs: Infinity });
    for (const one of options.traffic) this.#serve(one);
  }

  static create(options: LimitsEntryOptions): LimitsEntry {
    return new LimitsEntry(options);
  }

  holdingOf(organisation: string): ShareHolding {
    return this.#held.get(organisation) ?? NOTHING_HELD;
  }

  receive(message: AllowanceMessage): void {
    switch (message.type) {
      case "allowanceAsk":
        return this.#divide({ type: "asked", ask: message });
      case "allowanceAnswer":
        return this.#hold({ type: "answered", answer: message });
      case "offersWanted":
        return this.#hold({ type: "offersWanted", call: message });
    }
  }

  tick(): void {
    const { name, traffic, nowMs } = this.#options;
    const second = Math.floor(nowMs() / 1_000);
    for (const one of traffic) {
      const demand = one.demandAt(second)[one.entries.indexOf(name)] ?? 0;
      this.#hold({
        type: "demandMeasured",
        organisation: one.name,
        demand: createShare(demand),
      });
    }
    this.#hold({ type: "tick" });
    this.#divide({ type: "tick" });
  }

  #serve(
    { name: organisation, requestsPerSecond, entries }: OrganisationTraffic,
  ) {
    const limits = createShare(requestsPerSecond);
    this.#hold({ type: "contractChanged", organisation, limits });
    this.#hold({ type: "entriesChanged", organisation, entries });
    this.#divide({ type: "freshnessUpdated", freshUntilMs: Infinity });
    this.#divide({ type: "contractChanged", organisation, limits });
    this.#divide({ type: "entriesChanged", organisation, entries });
  }

  #hold(event: ShareHolderEvent): void {
    const { effects } = stepShareHolder(
      this.#holding,
      event,
      this.#options.nowMs(),
    );
    for (const effect of effects) {
      if (effect.type === "send") this.#options.post(effect.to, effect.message);
      else this.#held.set(effect.organisation, effect.holding);
    }
  }

  #divide(event: ShareCoordinatorEvent): void {
    const { effects } = stepShareCoordinator(
      this.#division,
      event,
      this.#options.nowMs(),
    );
    for (const effect of effects) {
      if (effect.type !== "send") throw new Error(effect.detail);
      this.#options.post(effect.to, effect.message);
    }
  }
}

/** Requests, requests in flight at a second each, and 340 tokens for each. */
function createShare(requestsPerSecond: number): LimitShare {
  return {
    requestsPerSecond,
    concurrentRequests: Math.ceil(requestsPerSecond),
    tokensPerMinute: requestsPerSecond * 340 * 60,
  };
}
