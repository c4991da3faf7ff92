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
import {
  type ProgressTracker,
  retainTargets,
} from "@dandelionbank/track-progress";
import type { TrackedNotices } from "@dandelionbank/track-notices";
import type { RegisteredTarget } from "@dandelionbank/types";
import { type KindEvent, RegistrationReader } from "@dandelionbank/watch-kind";

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
  /** Returns false if no route leads to the service. */
  readonly isServed: (service: string) => boolean;
  readonly placement: PlacementState;
  readonly notices: TrackedNotices;
  readonly pools: TargetPools;
  readonly progress: ProgressTracker;
  readonly logger: Logger;
  /** Called when the run of a target ends that was not draining. */
  readonly onTargetLost: (
    run: string,
    reason: "removed" | "startedAnew",
  ) => void;
}

export class TargetView {
  readonly #options: TargetViewOptions;
  readonly #tracker: TargetTracker;
  readonly #registrations: RegistrationReader;
  /** The tracked targets by their runs. */
  #byRun: ReadonlyMap<string, RegisteredTarget> = new Map();

  private constructor(options: TargetViewOptions) {
    this.#options = options;
    this.#tracker = createTargetTracker(options);
    this.#registrations = RegistrationReader.create(options.logger);
  }

  static create(options: TargetViewOptions): TargetView {
    return new TargetView(options);
  }

  /** Finds a target that still runs as the given run. */
  findTarget(run: string): RegisteredTarget | undefined {
    return this.#byRun.get(run);
  }

  /** Reads what a service's targets take together. */
  readGroupCapacity(service: string, runMs: number): GroupCapacity {
    const { notices } = this.#options;
    const nowMs = performance.now();
    const members = [...this.#tracker.targets.values()]
      .filter((target) => target.service === service);
    const open = members.filter(({ run, isDraining }) =>
      !isDraining && !notices.isLeaving(run)
    );
    const usableSlots = open.reduce(
      (sum, { run: target, slots }) =>
        sum + notices.countUsableSlots({ target, slots, runMs }, nowMs),
      0,
    );
    if (usableSlots > 0) {
      return { slots: Math.max(1, Math.floor(usableSlots)), opensInMs: 0 };
    }
    // A service without targets may get some at any time.
    if (members.length === 0) return { slots: 0, opensInMs: 0 };
    const delaysMs = open.map(({ run }) => notices.readDelayMs(run, nowMs));
    return { slots: 0, opensInMs: Math.min(...delaysMs) };
  }

  handleEvent(event: KindEvent): void {
    switch (event.type) {
      case "listed":
        this.#dispatch({
          type: "listed",
          targets: this.#registrations.readList(event.items),
          isRestored: event.isRestored,
        });
        return;
      case "changed": {
        const { item, isDeleted } = event.change;
        if (isDeleted) this.#registrations.forget(item.name);
        const target = isDeleted ? undefined : this.#registrations.read(item);
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
  markMisdirected(run: string): void {
    const target = this.findTarget(run);
    if (target === undefined) return;
    this.#dispatch({ type: "misdirected", id: target.id });
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
    const targets = [...this.#tracker.targets.values()];
    this.#byRun = new Map(targets.map((target) => [target.run, target]));
    for (const target of before) this.#reportIfLost(target);
    stepPlacement(this.#options.placement, {
      type: "targetsChanged",
      targets: targets.map(({ run, service, isDraining }) => ({
        name: run,
        pool: service,
        state: isDraining ? "closed" : "open",
      })),
    }, performance.now());
    const runs = new Set(targets.map(({ run }) => run));
    this.#options.pools.retainPools(runs);
    this.#options.notices.retainTargets(runs);
    retainTargets(this.#options.progress, runs);
    this.#logChange(targets, event);
  }

  #reportIfLost({ id, run, isDraining }: RegisteredTarget): void {
    if (this.findTarget(run) !== undefined) return;
    const successor = this.#tracker.targets.get(id);
    if (successor !== undefined) {
      this.#options.logger.log("targetStartedAnew", {
        target: id,
        run: successor.run,
        previousRun: run,
      });
    }
    if (isDraining) return;
    const reason = successor === undefined ? "removed" : "startedAnew";
    this.#options.onTargetLost(run, reason);
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
