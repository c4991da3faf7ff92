/**
 * The VM of one rank: the rank itself and its agent's core. Commands of the agent
 * reach the rank in order after `COMMAND_DELAY_MS`, even if the agent has ended.
 */

import type {
  RankEffect,
  RankEvent,
  RankIncarnation,
  RankOptions,
  RankState,
} from "@dandelionbank/switch-map";
import { startRank, stepRank } from "@dandelionbank/switch-map";
import type { Step } from "@dandelionbank/types";
import type { GroupWorld } from "./group_world.ts";

const TICK_INTERVAL_MS = 20;
const COMMAND_DELAY_MS = 2;

export interface Rank {
  step: number;
  /** Step that the rank must not begin, or -1 if none is held. */
  heldStep: number;
  isStalled: boolean;
  /** Map versions that the agent has set, each with its first step. */
  orders: { readonly mapVersion: number; readonly fromStep: number }[];
  /** Map version of each step that the rank has begun. */
  readonly mapOfStep: Map<number, number>;
}

export function nameRankVm(self: RankIncarnation): string {
  return `rank${self.rank}.${self.incarnation}`;
}

export function createRank(step: number): Rank {
  return {
    step,
    heldStep: -1,
    isStalled: false,
    orders: [],
    mapOfStep: new Map(),
  };
}

export class RankVm {
  readonly name: string;
  readonly rank: Rank;
  readonly index: number;
  readonly #world: GroupWorld;
  #state: RankState;

  static create(
    world: GroupWorld,
    start: { readonly options: RankOptions; readonly rank: Rank },
  ): RankVm {
    return new RankVm(world, start);
  }

  private constructor(
    world: GroupWorld,
    start: { readonly options: RankOptions; readonly rank: Rank },
  ) {
    const { options, rank } = start;
    this.#world = world;
    this.rank = rank;
    this.index = options.self.rank;
    this.name = nameRankVm(options.self);
    rank.heldStep = rank.step + 1;
    const nowMs = world.queue.nowMs;
    const started = startRank(options, nowMs);
    this.#state = started.state;
    world.queue.start(this.name, {
      receive: (message) => this.#handle({ type: "message", message }),
    });
    this.#applyResult(started);
    this.#tick();
  }

  get state(): RankState {
    return this.#state;
  }

  /** Begins the rank's next step unless it is stalled, held or ahead of the others. */
  advance(lowestStep: number): void {
    const { rank } = this;
    const next = rank.step + 1;
    if (rank.isStalled || rank.step > lowestStep) return;
    if (rank.heldStep >= 0 && rank.heldStep <= next) {
      this.#world.countHeldStep(this.index);
      return;
    }
    const order = rank.orders.findLast((map) => map.fromStep <= next);
    if (order === undefined) return;
    rank.step = next;
    rank.mapOfStep.set(next, order.mapVersion);
    this.#world.recordStep(this.index, next, order.mapVersion);
    this.#notifyAgent({
      type: "stepStarted",
      step: next,
      mapVersion: order.mapVersion,
    });
  }

  #tick(): void {
    this.#world.queue.startTimer(this.name, {
      delayMs: TICK_INTERVAL_MS,
      run: () => {
        this.#handle({ type: "tick" });
        this.#tick();
      },
    });
  }

  #handle(event: RankEvent): void {
    const nowMs = this.#world.queue.clockMs(this.name);
    this.#applyResult(stepRank(this.#state, event, nowMs));
  }

  #applyResult(result: Step<RankState, RankEffect>): void {
    this.#state = result.state;
    for (const effect of result.effects) this.#performEffect(effect);
  }

  #performEffect(effect: RankEffect): void {
    switch (effect.type) {
      case "send":
        return this.#world.send(this.name, effect.to, effect.message);
      case "settled":
        return this.#world.recordOutcome(this.name, effect);
      case "invariantViolated":
        return this.#world.reportViolation(
          `${effect.invariant}: ${effect.detail}`,
        );
      case "superseded":
        return this.#world.count("outcomes", "supersededAgents");
      case "stageMap":
        return this.#stage(effect.mapVersion);
      default:
        return this.#scheduleCommand(effect);
    }
  }

  #stage(mapVersion: number): void {
    const delayMs = this.#world.queue.random.int(1, 60);
    const run = () => this.#handle({ type: "mapStaged", mapVersion });
    this.#world.queue.startTimer(this.name, { delayMs, run });
  }

  #scheduleCommand(
    effect: Extract<
      RankEffect,
      { type: "holdStep" | "releaseStep" | "switchMap" }
    >,
  ): void {
    const { queue } = this.#world;
    queue.runAt(queue.nowMs + COMMAND_DELAY_MS, () => {
      const answer = this.#executeCommand(effect);
      if (answer !== undefined) this.#notifyAgent(answer);
    });
  }

  #executeCommand(
    effect: Extract<
      RankEffect,
      { type: "holdStep" | "releaseStep" | "switchMap" }
    >,
  ): RankEvent | undefined {
    const { rank } = this;
    if (effect.type === "releaseStep") {
      if (rank.heldStep === effect.step) rank.heldStep = -1;
      return undefined;
    }
    if (effect.type === "holdStep") {
      const isHeld = rank.step < effect.step;
      if (isHeld) rank.heldStep = effect.step;
      return { type: "stepHeld", step: effect.step, held: isHeld };
    }
    const { mapVersion, fromStep } = effect;
    const kept = rank.orders.filter((order) => order.fromStep < fromStep);
    rank.orders = [...kept, { mapVersion, fromStep }];
    return { type: "mapSwitched", mapVersion };
  }

  /** Passes an event of the rank to the agent unless the agent has ended. */
  #notifyAgent(event: RankEvent): void {
    if (!this.#world.queue.isRunning(this.name)) return;
    const run = () => this.#handle(event);
    this.#world.queue.startTimer(this.name, { delayMs: 0, run });
  }
}
