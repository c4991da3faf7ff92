/**
 * Follows the targets in the store and tells placement and the connections
 * which of them may take work.
 */

import {
  createTargetTracker,
  type TargetsEvent,
  type TargetTracker,
  updateTargets,
} from "@dandelionbank/follow-targets";
import type { TargetPools } from "@dandelionbank/forward-requests";
import type { Logger } from "@dandelionbank/log-events";
import {
  type PlacementCoreState,
  stepPlacement,
} from "@dandelionbank/pick-target";
import { decodeTarget, type StoredItem } from "@dandelionbank/platform-adapter";
import {
  type ProgressTracker,
  retainTargets,
} from "@dandelionbank/follow-progress";
import type { RegisteredTarget } from "@dandelionbank/types";
import type { KindEvent } from "@dandelionbank/watch-kind";

export interface TargetViewOptions {
  readonly reregistrationMs: number;
  readonly placement: PlacementCoreState;
  readonly pools: TargetPools;
  readonly progress: ProgressTracker;
  readonly logger: Logger;
  /** A target that was not draining is there no longer. */
  readonly onEnded: (id: string) => void;
}

export class TargetView {
  readonly #options: TargetViewOptions;
  readonly #followed: TargetTracker;

  private constructor(options: TargetViewOptions) {
    this.#options = options;
    this.#followed = createTargetTracker(options);
  }

  static create(options: TargetViewOptions): TargetView {
    return new TargetView(options);
  }

  find(id: string): RegisteredTarget | undefined {
    return this.#followed.targets.get(id);
  }

  hasOther(service: string, tried: readonly string[]): boolean {
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

  take(event: KindEvent): void {
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
  noteMisdirected(id: string): void {
    this.#step({ type: "misdirected", id });
  }

  /** Drops targets whose time for returning is over. */
  refresh(): void {
    this.#step({ type: "tick" });
  }

  #step(event: TargetsEvent): void {
    const before = [...this.#followed.targets.values()];
    const hasChanged = updateTargets(this.#followed, event, performance.now());
    if (!hasChanged) return;
    for (const { id, isDraining } of before) {
      if (!isDraining && this.find(id) === undefined) {
        this.#options.onEnded(id);
      }
    }
    const targets = [...this.#followed.targets.values()];
    stepPlacement(this.#options.placement, {
      type: "targetsChanged",
      targets: targets.map(({ id, service, isDraining }) => ({
        name: id,
        pool: service,
        state: isDraining ? "closed" : "open",
      })),
    }, performance.now());
    const ids = new Set(targets.map(({ id }) => id));
    this.#options.pools.keep(ids);
    retainTargets(this.#options.progress, ids);
    this.#logChange(targets, event);
  }

  #logChange(targets: readonly RegisteredTarget[], event: TargetsEvent): void {
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

function toTarget(item: StoredItem): readonly RegisteredTarget[] {
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
