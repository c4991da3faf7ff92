/**
 * Follows the targets in the store and tells placement and the connections
 * which of them may take work.
 */

import {
  createFollowedTargets,
  type FollowedTargets,
  stepTargets,
  type TargetsEvent,
} from "@dandelionbank/follow-targets";
import type { TargetPools } from "@dandelionbank/forward-requests";
import type { Logger } from "@dandelionbank/log-events";
import {
  pickTarget,
  type PlacementCoreState,
} from "@dandelionbank/pick-target";
import { decodeTarget, type StoredItem } from "@dandelionbank/platform-adapter";
import {
  type FollowedProgress,
  keepProgress,
} from "@dandelionbank/follow-progress";
import type { MemberTarget } from "@dandelionbank/types";
import type { KindEvent } from "@dandelionbank/watch-kind";

export interface TargetViewOptions {
  readonly returnMs: number;
  readonly placement: PlacementCoreState;
  readonly pools: TargetPools;
  readonly progress: FollowedProgress;
  readonly logger: Logger;
  /** A target that was not draining is there no longer. */
  readonly onTargetLost: (id: string) => void;
}

export class TargetView {
  readonly #options: TargetViewOptions;
  readonly #followed: FollowedTargets;

  private constructor(options: TargetViewOptions) {
    this.#options = options;
    this.#followed = createFollowedTargets(options);
  }

  static create(options: TargetViewOptions): TargetView {
    return new TargetView(options);
  }

  findTarget(id: string): MemberTarget | undefined {
    return this.#followed.targets.get(id);
  }

  hasUntriedTarget(service: string, tried: readonly string[]): boolean {
    for (
      const { id, service: own, isDraining } of this.#followed.targets.values()
    ) {
      if (own === service && !isDraining && !tried.includes(id)) return true;
    }
    return false;
  }

  /** Slots of a service's targets that take work. */
  countSlots(service: string): number {
    let slots = 0;
    for (const target of this.#followed.targets.values()) {
      if (target.service === service && !target.isDraining) {
        slots += target.slots;
      }
    }
    return slots;
  }

  handleEvent(event: KindEvent): void {
    switch (event.type) {
      case "listed":
        this.#step({ type: "listed", targets: event.items.flatMap(toTarget) });
        return;
      case "changed": {
        const { item, isDeleted } = event.change;
        const target = isDeleted ? undefined : toTarget(item)[0];
        this.#step(
          target === undefined
            ? { type: "removed", id: item.name }
            : { type: "put", target },
        );
        return;
      }
      case "lost":
        this.#step({ type: "storeLost" });
        return;
      case "regained":
        this.#step({ type: "storeAnswered" });
        return;
      case "proven":
        return;
    }
  }

  /** Another target answers at the address; this one is not there. */
  markMisdirected(id: string): void {
    this.#step({ type: "misdirected", id });
  }

  /** Drops targets whose time for returning is over. */
  expireTargets(): void {
    this.#step({ type: "tick" });
  }

  #step(event: TargetsEvent): void {
    const before = [...this.#followed.targets.values()];
    const hasChanged = stepTargets(this.#followed, event, performance.now());
    if (!hasChanged) return;
    for (const { id, isDraining } of before) {
      if (!isDraining && this.findTarget(id) === undefined) {
        this.#options.onTargetLost(id);
      }
    }
    const targets = [...this.#followed.targets.values()];
    pickTarget(this.#options.placement, {
      type: "targetsChanged",
      targets: targets.map(({ id, service, isDraining }) => ({
        name: id,
        pool: service,
        state: isDraining ? "closed" : "open",
      })),
    }, performance.now());
    const ids = new Set(targets.map(({ id }) => id));
    this.#options.pools.retainPools(ids);
    keepProgress(this.#options.progress, ids);
    this.#logChange(targets, event);
  }

  #logChange(targets: readonly MemberTarget[], event: TargetsEvent): void {
    const services = new Set(targets.map(({ service }) => service));
    const changed = event.type === "put" ? event.target.service : undefined;
    for (const service of services) {
      if (changed !== undefined && changed !== service) continue;
      const members = targets.filter((target) => target.service === service);
      const closed = members.filter(({ isDraining }) => isDraining).length;
      this.#options.logger.log("targetsChanged", {
        service,
        open: members.length - closed,
        closed,
        change: describeEvent(event),
      });
    }
  }
}

function toTarget(item: StoredItem): readonly MemberTarget[] {
  const target = decodeTarget(item);
  return target === undefined ? [] : [target];
}

function describeEvent(event: TargetsEvent): string {
  switch (event.type) {
    case "put":
      return event.target.isDraining
        ? `${event.target.id} drains`
        : `${event.target.id} is open`;
    case "removed":
      return `${event.id} is gone`;
    case "misdirected":
      return `${event.id} is not at its address`;
    default:
      return event.type;
  }
}
