/** Simulated entry that runs the product's state machines for sharing limits. */

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

/** As long as the random part of a real incarnation. */
const INCARNATION_SUFFIX = "0123456789abcdef";
const SETTLE_MS = 10_000;
const EMPTY_HOLDING: ShareHolding = {
  reserved: NO_SHARE,
  lent: [],
  borrowed: [],
};

export interface LimitsEntryOptions {
  readonly name: string;
  /** The organisations that this entry serves. */
  readonly traffic: readonly OrganisationTraffic[];
  readonly nowMs: () => number;
  readonly post: (to: string, message: AllowanceMessage) => void;
}

export class LimitsEntry {
  readonly #options: LimitsEntryOptions;
  readonly #holder;
  readonly #coordinator;
  readonly #holdings = new Map<string, ShareHolding>();

  private constructor(options: LimitsEntryOptions) {
    const { name } = options;
    const incarnation = `${name}-${INCARNATION_SUFFIX}`;
    this.#options = options;
    this.#holder = createShareHolder({
      entry: name,
      incarnation,
      settleMs: SETTLE_MS,
    });
    this.#coordinator = createShareCoordinator({
      coordinator: name,
      incarnation,
    });
    this.#stepHolder({ type: "freshnessUpdated", freshUntilMs: Infinity });
    for (const organisation of options.traffic) {
      this.#addOrganisation(organisation);
    }
  }

  static create(options: LimitsEntryOptions): LimitsEntry {
    return new LimitsEntry(options);
  }

  getHolding(organisation: string): ShareHolding {
    return this.#holdings.get(organisation) ?? EMPTY_HOLDING;
  }

  receive(message: AllowanceMessage): void {
    switch (message.type) {
      case "allowanceAsk":
        return this.#stepCoordinator({ type: "asked", ask: message });
      case "allowanceAnswer":
        return this.#stepHolder({ type: "answered", answer: message });
      case "offersWanted":
        return this.#stepHolder({ type: "offersWanted", call: message });
    }
  }

  tick(): void {
    const { name, traffic, nowMs } = this.#options;
    const second = Math.floor(nowMs() / 1_000);
    for (const organisation of traffic) {
      const demand =
        organisation.demandAt(second)[organisation.entries.indexOf(name)] ?? 0;
      this.#stepHolder({
        type: "demandMeasured",
        organisation: organisation.name,
        demand: createShare(demand),
      });
    }
    this.#stepHolder({ type: "tick" });
    this.#stepCoordinator({ type: "tick" });
  }

  #addOrganisation(
    { name: organisation, requestsPerSecond, entries }: OrganisationTraffic,
  ) {
    const limits = createShare(requestsPerSecond);
    this.#stepHolder({ type: "contractChanged", organisation, limits });
    this.#stepHolder({ type: "entriesChanged", organisation, entries });
    this.#stepCoordinator({ type: "freshnessUpdated", freshUntilMs: Infinity });
    this.#stepCoordinator({ type: "contractChanged", organisation, limits });
    this.#stepCoordinator({ type: "entriesChanged", organisation, entries });
  }

  #stepHolder(event: ShareHolderEvent): void {
    const { effects } = stepShareHolder(
      this.#holder,
      event,
      this.#options.nowMs(),
    );
    for (const effect of effects) {
      if (effect.type === "send") this.#options.post(effect.to, effect.message);
      else this.#holdings.set(effect.organisation, effect.holding);
    }
  }

  #stepCoordinator(event: ShareCoordinatorEvent): void {
    const { effects } = stepShareCoordinator(
      this.#coordinator,
      event,
      this.#options.nowMs(),
    );
    for (const effect of effects) {
      if (effect.type !== "send") throw new Error(effect.detail);
      this.#options.post(effect.to, effect.message);
    }
  }
}

/** Creates a share for requests that take 1 s and 340 tokens each. */
function createShare(requestsPerSecond: number): LimitShare {
  return {
    requestsPerSecond,
    concurrentRequests: Math.ceil(requestsPerSecond),
    tokensPerMinute: requestsPerSecond * 340 * 60,
  };
}
