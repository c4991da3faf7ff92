/**
 * Tracks the targets in the store, and updates the placement core and the
 * connection pools when they change.
 */

import {
  createTargetTracker,
  type TargetsEvent,
  type TargetTracker,
  updateTargets,
} from "@dandelionbank/track-targets";
import type { TargetPools } from "@dandelionbank/forward-requests";
import type { Logger } from "@dandelionbank/log-events";
import { type PlacementState, stepPlacement } from "@dandelionbank/pick-target";
import { decodeTarget, type StoredItem } from "@dandelionbank/platform-adapter";
import {
  type ProgressTracker,
  retainTargets,
} from "@dandelionbank/track-progress";
import type { TrackedNotices } from "@dandelionbank/track-notices";
import type { RegisteredTarget } from "@dandelionbank/types";
import type { KindEvent } from "@dandelionbank/watch-kind";

/** What the targets of a service take together. */
export interface GroupCapacity {
  /** Slots that requests of all entries can keep busy. */
  readonly slots: number;
  /** Time until there are slots: 0 if there are, infinite if all targets leave. */
  readonly opensInMs: number;
}

export interface TargetViewOptions {
  /** Time for targets to re-register after an outage of the store. */
  readonly reregistrationMs: number;
  readonly placement: PlacementState;
  readonly notices: TrackedNotices;
  readonly pools: TargetPools;
  readonly progress: ProgressTracker;
  readonly logger: Logger;
  /** Called when a target disappears, or starts anew, that was not draining. */
  readonly onTargetLost: (
    target: RegisteredTarget,
    reason: "removed" | "startedAnew",
  ) => void;
}

export class TargetView {
  readonly #options: TargetViewOptions;
  readonly #tracker: TargetTracker;

  private constructor(options: TargetViewOptions) {
    this.#options = options;
    this.#tracker = createTargetTracker(options);
  }

  static create(options: TargetViewOptions): TargetView {
    return new TargetView(options);
  }

  findTarget(id: string): RegisteredTarget | undefined {
    return this.#tracker.targets.get(id);
  }

  /** Reads what a service's targets take together. */
  readGroupCapacity(service: string, runMs: number): GroupCapacity {
    const { notices } = this.#options;
    const nowMs = performance.now();
    const members = [...this.#tracker.targets.values()]
      .filter((target) => target.service === service);
    const open = members.filter(({ id, isDraining }) =>
      !isDraining && !notices.isLeaving(id)
    );
    const usableSlots = open.reduce(
      (sum, { id: target, slots }) =>
        sum + notices.countUsableSlots({ target, slots, runMs }, nowMs),
      0,
    );
    if (usableSlots > 0) {
      return { slots: Math.max(1, Math.floor(usableSlots)), opensInMs: 0 };
    }
    // A service without targets may get some at any time.
    if (members.length === 0) return { slots: 0, opensInMs: 0 };
    const delaysMs = open.map(({ id }) => notices.readDelayMs(id, nowMs));
    return { slots: 0, opensInMs: Math.min(...delaysMs) };
  }

  handleEvent(event: KindEvent): void {
    switch (event.type) {
      case "listed":
        this.#dispatch({
          type: "listed",
          targets: event.items.flatMap(toTarget),
          isRestored: event.isRestored,
        });
        return;
      case "changed": {
        const { item, isDeleted } = event.change;
        const target = isDeleted ? undefined : toTarget(item)[0];
        this.#dispatch(
          target === undefined
            ? { type: "removed", id: item.name }
            : { type: "put", target },
        );
        return;
      }
      case "lost":
        this.#dispatch({ type: "storeLost" });
        return;
      case "regained":
        this.#dispatch({ type: "storeAnswered" });
        return;
      case "proven":
        return;
    }
  }

  /** Records that a different target answers at the target's address. */
  markMisdirected(id: string): void {
    this.#dispatch({ type: "misdirected", id });
  }

  /**
   * Removes targets that did not re-register in time after an outage of the
   * store.
   */
  expireTargets(): void {
    this.#dispatch({ type: "tick" });
  }

  #dispatch(event: TargetsEvent): void {
    const before = [...this.#tracker.targets.values()];
    const hasChanged = updateTargets(this.#tracker, event, performance.now());
    if (!hasChanged) return;
    for (const target of before) this.#reportIfLost(target);
    const targets = [...this.#tracker.targets.values()];
    stepPlacement(this.#options.placement, {
      type: "targetsChanged",
      targets: targets.map(({ id, service, isDraining }) => ({
        name: id,
        pool: service,
        state: isDraining ? "closed" : "open",
      })),
    }, performance.now());
    const ids = new Set(targets.map(({ id }) => id));
    this.#options.pools.retainPools(ids);
    this.#options.notices.retainTargets(ids);
    retainTargets(this.#options.progress, ids);
    this.#logChange(targets, event);
  }

  #reportIfLost(before: RegisteredTarget): void {
    if (before.isDraining) return;
    const after = this.findTarget(before.id);
    if (after === undefined) {
      this.#options.onTargetLost(before, "removed");
    } else if (after.startedAtMs !== before.startedAtMs) {
      this.#options.onTargetLost(before, "startedAnew");
    }
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
        ? `${event.target.id} is draining`
        : `${event.target.id} is open`;
    case "removed":
      return `${event.id} was removed`;
    case "misdirected":
      return `a different target answers at the address of ${event.id}`;
    default:
      return event.type;
  }
}
