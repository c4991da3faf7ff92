/**
 * A model of a group of ranks for tests. It covers passes, held steps, prepared
 * and armed map versions, epochs, and orders that are lost, unanswered or
 * carried out late. Checks that all ranks run each pass under the same map.
 */

import assert from "node:assert/strict";
import type {
  GroupOrder,
  GroupOrderResult,
  RankReport,
} from "@dandelionbank/types";

interface ModelRank {
  mapVersion: number;
  preparedVersion: number;
  /** Highest version prepared so far; a `prepare` of an older one is refused. */
  highestVersion: number;
  armed: { readonly version: number; readonly step: number } | undefined;
  /** Step that the group must not begin until the rank gets a `release`. */
  heldStep: number | undefined;
}

interface DelayedOrder {
  readonly atMs: number;
  readonly rank: number;
  readonly order: GroupOrder;
  readonly epoch: number;
}

/**
 * What happens to an order: carried out and answered, lost before the rank,
 * carried out with its answer lost, or carried out after a delay.
 */
export type OrderDelivery = "answered" | "lost" | "unanswered" | "late";

export class GroupModel {
  readonly #ranks: ModelRank[];
  #delayedOrders: DelayedOrder[] = [];
  epoch = 1;
  step = 0;
  /** Whether the group has requests; an idle group begins no pass. */
  isBusy = true;

  constructor(size: number) {
    this.#ranks = Array.from({ length: size }, createRank);
  }

  /** Whether a rank holds the next pass. */
  get isHeld(): boolean {
    return this.#ranks.some(({ heldStep }) => heldStep === this.step + 1);
  }

  get mapVersion(): number {
    return this.#ranks[0]!.mapVersion;
  }

  /** Whether a rank has a hold, on the next step or on any other. */
  get hasAnyHold(): boolean {
    return this.#ranks.some(({ heldStep }) => heldStep !== undefined);
  }

  listReports(): readonly RankReport[] {
    return this.#ranks.map((rank, index): RankReport => ({
      group: "g",
      epoch: this.epoch,
      rank: index,
      groupSize: this.#ranks.length,
      isOpen: true,
      step: this.step,
      mapVersion: rank.mapVersion,
      preparedVersion: rank.preparedVersion,
      armedVersion: rank.armed?.version ?? 0,
      heldStep: rank.heldStep,
      pace: 1,
    }));
  }

  /** Begins the next pass, unless the group is idle or a rank holds the pass. */
  beginPass(): void {
    if (!this.isBusy || this.isHeld) return;
    this.step += 1;
    for (const rank of this.#ranks) {
      if (rank.armed?.step !== this.step) continue;
      rank.mapVersion = rank.armed.version;
      rank.armed = undefined;
    }
    const versions = new Set(this.#ranks.map(({ mapVersion }) => mapVersion));
    assert.equal(
      versions.size,
      1,
      `pass ${this.step} with maps ${[...versions]}`,
    );
  }

  /** Forms the group again after the loss of a rank, in a new epoch without maps or orders. */
  reform(): void {
    this.epoch += 1;
    this.#ranks.splice(0, this.#ranks.length, ...this.#ranks.map(createRank));
  }

  /** Sends an order to a rank; returns the result that the sender sees. */
  send(
    { rank, order, epoch }: Omit<DelayedOrder, "atMs">,
    { delivery, nowMs, delayMs }: {
      readonly delivery: OrderDelivery;
      readonly nowMs: number;
      readonly delayMs: number;
    },
  ): GroupOrderResult {
    if (delivery === "late") {
      this.#delayedOrders.push({ atMs: nowMs + delayMs, rank, order, epoch });
      return "lost";
    }
    if (delivery === "lost") return "lost";
    const result = this.#applyOrder({ rank, order, epoch });
    return delivery === "answered" ? result : "lost";
  }

  /** Carries out the late orders that are due. */
  applyDelayedOrders(nowMs: number): void {
    const due = this.#delayedOrders.filter(({ atMs }) => atMs <= nowMs);
    this.#delayedOrders = this.#delayedOrders.filter(({ atMs }) =>
      atMs > nowMs
    );
    for (const order of due) this.#applyOrder(order);
  }

  #applyOrder(
    { rank: index, order, epoch }: Omit<DelayedOrder, "atMs">,
  ): GroupOrderResult {
    if (epoch !== this.epoch) return "conflict";
    const rank = this.#ranks[index]!;
    switch (order.kind) {
      case "prepare":
      case "supersede":
        if (order.version === rank.preparedVersion) return "done";
        if (order.version <= rank.highestVersion) return "conflict";
        if (rank.armed !== undefined) return "conflict";
        rank.preparedVersion = order.version;
        rank.highestVersion = order.version;
        return "done";
      case "arm":
        if (rank.armed?.version === order.version) {
          return rank.armed.step === order.step ? "done" : "conflict";
        }
        if (rank.preparedVersion !== order.version) return "conflict";
        if (order.step <= this.step) return "conflict";
        rank.armed = { version: order.version, step: order.step };
        return "done";
      case "hold":
        if (rank.heldStep === order.step) return "done";
        if (rank.heldStep !== undefined) return "conflict";
        if (order.step <= this.step) return "conflict";
        rank.heldStep = order.step;
        return "done";
      case "release":
        if (rank.heldStep === order.step) rank.heldStep = undefined;
        return "done";
      case "disarm":
        if (rank.mapVersion === order.version) return "conflict";
        if (rank.armed?.version === order.version) rank.armed = undefined;
        return "done";
    }
  }
}

function createRank(): ModelRank {
  return {
    mapVersion: 0,
    preparedVersion: 0,
    highestVersion: 0,
    armed: undefined,
    heldStep: undefined,
  };
}
