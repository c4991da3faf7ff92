/** A coordinator that plans the map switches of a group under one fencing number. */

import type {
  CoordinatorEffect,
  CoordinatorEvent,
  CoordinatorState,
} from "@dandelionbank/switch-map";
import { startCoordinator, stepCoordinator } from "@dandelionbank/switch-map";
import type { Step } from "@dandelionbank/types";
import type { GroupWorld } from "./group_world.ts";

const TICK_INTERVAL_MS = 20;
/** Time after a plan at which the coordinator is told to cancel it. */
const CANCEL_AFTER_MS = 600;

export interface CoordinatorNodeOptions {
  readonly fencingNumber: number;
  readonly leadSteps: number;
}

export class CoordinatorNode {
  readonly name: string;
  readonly #world: GroupWorld;
  #state: CoordinatorState;
  #plannedAtMs = 0;

  static create(
    world: GroupWorld,
    options: CoordinatorNodeOptions,
  ): CoordinatorNode {
    return new CoordinatorNode(world, options);
  }

  private constructor(world: GroupWorld, options: CoordinatorNodeOptions) {
    const { fencingNumber, leadSteps } = options;
    this.#world = world;
    this.name = `coordinator${fencingNumber}`;
    const started = startCoordinator({
      group: "g",
      groupSize: world.size,
      fencingNumber,
      leadSteps,
      resendIntervalMs: 40,
      stageTimeoutMs: 500,
    }, world.queue.nowMs);
    this.#state = started.state;
    world.queue.start(this.name, {
      receive: (message) => this.handle({ type: "message", message }),
    });
    this.#applyResult(started);
    this.#tick();
  }

  get state(): CoordinatorState {
    return this.#state;
  }

  handle(event: CoordinatorEvent): void {
    const { queue } = this.#world;
    if (event.type === "plan") this.#plannedAtMs = queue.nowMs;
    this.#applyResult(stepCoordinator(this.#state, event, queue.nowMs));
  }

  #tick(): void {
    const { queue } = this.#world;
    queue.startTimer(this.name, {
      delayMs: TICK_INTERVAL_MS,
      run: () => {
        this.handle({ type: "tick" });
        if (queue.nowMs - this.#plannedAtMs > CANCEL_AFTER_MS) {
          this.#plannedAtMs = queue.nowMs;
          this.handle({ type: "cancel" });
        }
        this.#tick();
      },
    });
  }

  #applyResult(result: Step<CoordinatorState, CoordinatorEffect>): void {
    this.#state = result.state;
    for (const effect of result.effects) {
      if (effect.type === "send") {
        this.#world.send(this.name, effect.to, effect.message);
      }
      if (effect.type === "switchSettled") this.#world.recordSettledMap(effect);
    }
  }
}
