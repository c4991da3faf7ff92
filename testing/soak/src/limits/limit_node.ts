/**
 * A simulated entry: the cores for request limits, for holding shares and for
 * coordinating shares, connected as in the entry's task.
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
  /** Longest time for which a replaced list of entries may still be in use. */
  readonly settleMs: number;
  readonly clockMs: () => number;
  readonly post: (to: string, message: AllowanceMessage) => void;
  readonly reportViolation: (detail: string) => void;
}

export interface PlatformState {
  /** The contract's limits. */
  readonly limits: LimitShare;
  readonly entries: readonly string[];
  /** Time on the entry's clock until which it may use this state. */
  readonly freshUntilMs: number;
}

export class LimitNode {
  readonly #options: LimitNodeOptions;
  readonly #holderState: ShareHolderState;
  readonly #coordinatorState: ShareCoordinatorState;
  readonly #limitState: LimitState;
  #freshUntilMs = -Infinity;
  #requestCount = 0;
  #runningRequestIds: string[] = [];
  holding: ShareHolding = { reserved: NO_SHARE, lent: [], borrowed: [] };

  private constructor(options: LimitNodeOptions) {
    const { name, incarnation, settleMs } = options;
    this.#options = options;
    this.#holderState = createShareHolder({
      entry: name,
      incarnation,
      settleMs,
    });
    this.#coordinatorState = createShareCoordinator({
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
        return this.#stepCoordinator({ type: "asked", ask: message });
      case "allowanceAnswer":
        return this.#stepHolder({ type: "answered", answer: message });
      case "offersWanted":
        return this.#stepHolder({ type: "offersWanted", call: message });
    }
  }

  applyPlatformState({ limits, entries, freshUntilMs }: PlatformState): void {
    const organisation = ORGANISATION;
    this.#freshUntilMs = freshUntilMs;
    this.#stepHolder({ type: "freshnessUpdated", freshUntilMs });
    this.#stepHolder({ type: "contractChanged", organisation, limits });
    this.#stepHolder({ type: "entriesChanged", organisation, entries });
    this.#stepCoordinator({ type: "freshnessUpdated", freshUntilMs });
    this.#stepCoordinator({ type: "contractChanged", organisation, limits });
    this.#stepCoordinator({ type: "entriesChanged", organisation, entries });
    this.#stepLimits({
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

  /** Ends the running requests and starts new ones by the demand; returns the number admitted. */
  tick(demand: LimitShare = NO_SHARE): number {
    const organisation = ORGANISATION;
    this.#stepHolder({ type: "demandMeasured", organisation, demand });
    this.#stepHolder({ type: "tick" });
    this.#stepCoordinator({ type: "tick" });
    const nowMs = this.#options.clockMs();
    for (const requestId of this.#runningRequestIds.splice(0)) {
      this.#stepLimits({ type: "requestEnded", requestId, actualTokens: 10 });
    }
    if (!this.isFresh(nowMs)) return 0;
    // A tick comes four times a second.
    for (let i = 0; i < Math.ceil(demand.requestsPerSecond / 4); i++) {
      this.#startRequest();
    }
    return this.#runningRequestIds.length;
  }

  #startRequest(): void {
    const requestId = `${this.#options.incarnation}-${this.#requestCount++}`;
    const effects = this.#stepLimits({
      type: "requestArrived",
      requestId,
      organisation: ORGANISATION,
      pool: "p",
      estimatedTokens: 10,
    });
    if (effects[0]?.type === "admit") this.#runningRequestIds.push(requestId);
  }

  #stepLimits(event: LimitEvent): readonly LimitEffect[] {
    const nowMs = this.#options.clockMs();
    const { effects } = limitRequests(this.#limitState, event, nowMs);
    for (const effect of effects) {
      if (effect.type === "invariantViolated") this.#reportInvariant(effect);
    }
    return effects;
  }

  #stepHolder(event: ShareHolderEvent): void {
    const nowMs = this.#options.clockMs();
    for (
      const effect of stepShareHolder(this.#holderState, event, nowMs).effects
    ) {
      if (effect.type === "send") this.#options.post(effect.to, effect.message);
      if (effect.type !== "holdingChanged") continue;
      this.holding = effect.holding;
      this.#stepLimits(effect);
    }
  }

  #stepCoordinator(event: ShareCoordinatorEvent): void {
    const nowMs = this.#options.clockMs();
    const { effects } = stepShareCoordinator(
      this.#coordinatorState,
      event,
      nowMs,
    );
    for (const effect of effects) {
      if (effect.type === "send") this.#options.post(effect.to, effect.message);
      else this.#reportInvariant(effect);
    }
  }

  #reportInvariant(
    effect: { readonly invariant: string; readonly detail: string },
  ): void {
    this.#options.reportViolation(`${effect.invariant}: ${effect.detail}`);
  }
}
