/**
 * One entry of the randomised runs and measurements: the cores of an entry's
 * limits and of a coordinator, joined as the entry's task joins them.
 */

import {
  createShareCoordinator,
  createShareHolder,
  NO_SHARE,
  stepShareCoordinator,
  stepShareHolder,
} from "@dandelionbank/grant-allowances";
import type {
  ShareCoordinatorEvent,
  ShareCoordinatorState,
  ShareHolderEvent,
  ShareHolderState,
} from "@dandelionbank/grant-allowances";
import { createLimitState, limitRequests } from "@dandelionbank/limit-requests";
import type {
  LimitEffect,
  LimitEvent,
  LimitState,
} from "@dandelionbank/limit-requests";
import type {
  AllowanceMessage,
  LimitShare,
  ShareHolding,
} from "@dandelionbank/types";

const ORGANISATION = "malabar";

export interface LimitNodeOptions {
  readonly name: string;
  readonly incarnation: string;
  readonly settleMs: number;
  readonly clockMs: () => number;
  readonly post: (to: string, message: AllowanceMessage) => void;
  readonly violate: (what: string) => void;
}

export interface PlatformReading {
  readonly limits: LimitShare;
  readonly entries: readonly string[];
  readonly freshUntilMs: number;
}

export class LimitNode {
  readonly #options: LimitNodeOptions;
  readonly #holdingState: ShareHolderState;
  readonly #divisionState: ShareCoordinatorState;
  readonly #limitState: LimitState;
  #freshUntilMs = -Infinity;
  #requests = 0;
  #running: string[] = [];
  holding: ShareHolding = { reserved: NO_SHARE, lent: [], borrowed: [] };

  private constructor(options: LimitNodeOptions) {
    const { name, incarnation, settleMs } = options;
    this.#options = options;
    this.#holdingState = createShareHolder({
      entry: name,
      incarnation,
      settleMs,
    });
    this.#divisionState = createShareCoordinator({
      coordinator: name,
      incarnation,
    });
    this.#limitState = createLimitState(name);
  }

  static create(options: LimitNodeOptions): LimitNode {
    return new LimitNode(options);
  }

  isFresh(nowMs: number): boolean {
    return nowMs < this.#freshUntilMs;
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

  readPlatform({ limits, entries, freshUntilMs }: PlatformReading): void {
    const organisation = ORGANISATION;
    this.#freshUntilMs = freshUntilMs;
    this.#hold({ type: "freshnessUpdated", freshUntilMs });
    this.#hold({ type: "contractChanged", organisation, limits });
    this.#hold({ type: "entriesChanged", organisation, entries });
    this.#divide({ type: "freshnessUpdated", freshUntilMs });
    this.#divide({ type: "contractChanged", organisation, limits });
    this.#divide({ type: "entriesChanged", organisation, entries });
    this.#limit({
      type: "contractChanged",
      contract: {
        organisation,
        ...limits,
        keyDigests: [],
        shareWeight: 1,
        priority: 5,
        objective: { firstTokenMs: 1, betweenTokensMs: 1, answeredMs: 1 },
      },
    });
  }

  /** Lets requests come and go by the demand; returns how many were admitted. */
  tick(demand: LimitShare = NO_SHARE): number {
    const organisation = ORGANISATION;
    this.#hold({ type: "demandMeasured", organisation, demand });
    this.#hold({ type: "tick" });
    this.#divide({ type: "tick" });
    const nowMs = this.#options.clockMs();
    for (const requestId of this.#running.splice(0)) {
      this.#limit({ type: "requestEnded", requestId, actualTokens: 10 });
    }
    if (!this.isFresh(nowMs)) return 0;
    for (let i = 0; i < Math.ceil(demand.requestsPerSecond / 4); i++) {
      this.#arrive();
    }
    return this.#running.length;
  }

  #arrive(): void {
    const requestId = `${this.#options.incarnation}-${this.#requests++}`;
    const effects = this.#limit({
      type: "requestArrived",
      requestId,
      organisation: ORGANISATION,
      pool: "p",
      estimatedTokens: 10,
    });
    if (effects[0]?.type === "admit") this.#running.push(requestId);
  }

  #limit(event: LimitEvent): readonly LimitEffect[] {
    const nowMs = this.#options.clockMs();
    const { effects } = limitRequests(this.#limitState, event, nowMs);
    for (const effect of effects) {
      if (effect.type === "invariantViolated") this.#violate(effect);
    }
    return effects;
  }

  #hold(event: ShareHolderEvent): void {
    const nowMs = this.#options.clockMs();
    for (
      const effect of stepShareHolder(this.#holdingState, event, nowMs).effects
    ) {
      if (effect.type === "send") this.#options.post(effect.to, effect.message);
      if (effect.type !== "holdingChanged") continue;
      this.holding = effect.holding;
      this.#limit(effect);
    }
  }

  #divide(event: ShareCoordinatorEvent): void {
    const nowMs = this.#options.clockMs();
    const { effects } = stepShareCoordinator(this.#divisionState, event, nowMs);
    for (const effect of effects) {
      if (effect.type === "send") this.#options.post(effect.to, effect.message);
      else this.#violate(effect);
    }
  }

  #violate(
    effect: { readonly invariant: string; readonly detail: string },
  ): void {
    this.#options.violate(`${effect.invariant}: ${effect.detail}`);
  }
}
