/**
 * Transition system of a group of ranks on the users' platform and the
 * coordinators that switch its map, built on the state machine of
 * `switch-group`.
 *
 * A coordinator may stop at any point and go on at any later one, also while the
 * next one acts; one that is killed is one that never goes on. A bounded number of
 * faults may strike: an order that stays with an agent, or with its engine, for any
 * length of time, and gets no answer; an agent, or its whole VM, that does not
 * answer a poll; and reports that are applied any time after they were read.
 */

import {
  canStartSwitch,
  createSwitchState,
  requiresCurrentMap,
  stepSwitch,
  type SwitchEffect,
  type SwitchEvent,
  type SwitchState,
} from "@dandelionbank/switch-group";
import type {
  ExpertMap,
  OrderForwardingState,
  RankReport,
} from "@dandelionbank/types";
import { carryOut, type GroupRank } from "./group_rank.ts";
import {
  addOrder,
  beginNextPass,
  changeCoordinator,
  type GroupCoordinator,
  type GroupWorld,
  type PollResult,
  type SentOrder,
} from "./group_world.ts";

const EPOCH = 1;
const VERSIONS_PER_TERM = 10;
/** More rounds than it takes to revert one switch and to make another. */
const ROUNDS_TO_FINISH = 30;

/** Changes what coordinators or agents see, to model a missing safeguard. */
export interface GroupMutation {
  readonly changeReports?: (
    reports: readonly RankReport[],
    phase: SwitchState["phase"],
  ) => readonly RankReport[];
  readonly acceptsOldTerms?: boolean;
  readonly forgetsOrders?: boolean;
}

export interface GroupModelOptions {
  readonly ranks: number;
  readonly coordinators: number;
  readonly lastStep: number;
  readonly faults: number;
  /** How a rank other than the coordinator's may fail to answer a poll. */
  readonly silence: "agent" | "vm";
  readonly mutation?: GroupMutation;
}

export interface GroupTransition {
  readonly action: string;
  readonly world: GroupWorld;
  readonly violation?: string;
}

export class GroupSwitchModel {
  readonly #options: GroupModelOptions;
  readonly #map: ExpertMap;

  private constructor(options: GroupModelOptions) {
    this.#options = options;
    const { ranks } = options;
    this.#map = [Array.from({ length: ranks }, (_, rank) => [rank])];
  }

  static create(options: GroupModelOptions): GroupSwitchModel {
    return new GroupSwitchModel(options);
  }

  /** The group once the first coordinator has prepared a version on all ranks. */
  createWorld(): GroupWorld {
    const { ranks } = this.#options;
    const rank: GroupRank = {
      mapVersion: 0,
      preparedVersion: 0,
      armed: null,
      heldStep: null,
      term: 0,
      orderedByRank: null,
    };
    const world: GroupWorld = {
      step: 1,
      ranks: Array.from({ length: ranks }, () => rank),
      network: [],
      coordinators: [this.#createCoordinator(0)],
      faultsLeft: 0,
    };
    const [prepared] = this.#apply(
      this.#poll({ ...world, step: 0 }, 0, null),
      0,
    );
    const { faults } = this.#options;
    return { ...prepared!, step: 1, faultsLeft: faults };
  }

  listTransitions(world: GroupWorld): readonly GroupTransition[] {
    return this.#listAll(world).map((transition) => ({
      ...transition,
      world: this.#simplify(transition.world),
    }));
  }

  /** Drops what can no longer have an effect. */
  #simplify(world: GroupWorld): GroupWorld {
    const network = world.network.filter((sent) =>
      !this.#isWithoutEffect(world, sent)
    );
    const coordinators = world.coordinators.map((coordinator, index) =>
      coordinator.isLeading ? coordinator : this.#createEnded(index)
    );
    return { ...world, network, coordinators };
  }

  #isWithoutEffect(
    { ranks, step }: GroupWorld,
    { rank: number, at, coordinator, order }: SentOrder,
  ): boolean {
    const { term, preparedVersion } = ranks[number]!;
    const isRefused = at === "agent" && coordinator + 1 < term &&
      !this.#options.mutation?.acceptsOldTerms;
    if (isRefused) return true;
    if ("step" in order && order.step <= step) return true;
    return order.kind !== "hold" && order.kind !== "release" &&
      order.kind !== "disarm" && order.version < preparedVersion;
  }

  #createEnded(index: number): GroupCoordinator {
    const { state } = this.#createCoordinator(index);
    return { state, polled: null, isLeading: false, hasPlan: false };
  }

  #listAll(world: GroupWorld): readonly GroupTransition[] {
    return [
      ...this.#beginPass(world),
      ...world.network.flatMap((sent) => this.#deliverLate(world, sent)),
      ...world.coordinators.flatMap((_, index) => this.#run(world, index)),
      ...this.#startCoordinator(world),
    ];
  }

  /**
   * Whether a new coordinator, without further faults, ends what is unfinished
   * and switches the group to a map of its own.
   */
  canFinish(world: GroupWorld): boolean {
    const index = world.coordinators.length;
    const started = {
      ...world,
      coordinators: [...world.coordinators, this.#createCoordinator(index)],
      faultsLeft: 0,
    };
    let [current] = world.network.reduce<readonly GroupWorld[]>(
      (worlds, sent) =>
        worlds.flatMap((each) => this.#deliver(each, sent, false)),
      [started],
    );
    const ownVersion = this.#chooseFirstVersion(index);
    for (let round = 0; round < ROUNDS_TO_FINISH; round++) {
      [current] = this.#apply(this.#poll(current!, index, null), index);
      current = beginNextPass(current!) ?? current;
      const isFinished = current!.ranks.every((rank) =>
        rank.mapVersion >= ownVersion && rank.heldStep === null &&
        rank.armed === null
      );
      if (isFinished) return true;
    }
    return false;
  }

  #beginPass(world: GroupWorld): readonly GroupTransition[] {
    if (world.step >= this.#options.lastStep) return [];
    const next = beginNextPass(world);
    if (next === undefined) return [];
    const { step, ranks } = next;
    const versions = ranks.map(({ mapVersion }) => mapVersion);
    const transition = { action: `pass ${step} begins`, world: next };
    return new Set(versions).size === 1
      ? [transition]
      : [{ ...transition, violation: `pass ${step} with maps ${versions}` }];
  }

  #run(world: GroupWorld, index: number): readonly GroupTransition[] {
    const { polled, isLeading } = world.coordinators[index]!;
    if (!isLeading) return [];
    if (polled !== null) {
      const action = `coordinator ${index} applies its reports`;
      return this.#apply(world, index).map((next) => ({ action, world: next }));
    }
    return [
      ...this.#runRound(world, index, null),
      ...this.#runFaultyRounds(world, index),
    ];
  }

  #runFaultyRounds(
    world: GroupWorld,
    index: number,
  ): readonly GroupTransition[] {
    if (world.faultsLeft === 0) return [];
    const failing = { ...world, faultsLeft: world.faultsLeft - 1 };
    const others = world.ranks.flatMap((_, rank) =>
      rank === index ? [] : [rank]
    );
    const action = `coordinator ${index} reads reports`;
    return [
      { action, world: this.#poll(failing, index, null) },
      ...others.flatMap((rank) => this.#runRound(failing, index, rank)),
    ];
  }

  #runRound(
    world: GroupWorld,
    index: number,
    silentRank: number | null,
  ): readonly GroupTransition[] {
    const action = silentRank === null
      ? `coordinator ${index} polls`
      : `coordinator ${index} polls without rank ${silentRank}`;
    const polled = this.#poll(world, index, silentRank);
    const isPolled = polled.coordinators[index]!.polled !== null;
    const next = isPolled ? this.#apply(polled, index) : [polled];
    return next.map((after) => ({ action, world: after }));
  }

  #startCoordinator(world: GroupWorld): readonly GroupTransition[] {
    const index = world.coordinators.length;
    if (index === this.#options.coordinators) return [];
    const coordinators = [
      ...world.coordinators,
      this.#createCoordinator(index),
    ];
    const action = `coordinator ${index} starts`;
    return [{ action, world: { ...world, coordinators } }];
  }

  #createCoordinator(index: number): GroupCoordinator {
    const state = createSwitchState({
      ownRank: index % this.#options.ranks,
      firstVersion: this.#chooseFirstVersion(index),
    });
    return { state, polled: null, isLeading: true, hasPlan: true };
  }

  #chooseFirstVersion(index: number): number {
    return (index + 1) * VERSIONS_PER_TERM;
  }

  #poll(
    world: GroupWorld,
    index: number,
    silentRank: number | null,
  ): GroupWorld {
    const { mutation, silence } = this.#options;
    const term = index + 1;
    const answering = world.ranks.map((_, rank) => rank !== silentRank);
    const isSuperseded = world.ranks.some((rank, number) =>
      answering[number] && rank.term > term
    );
    if (isSuperseded) {
      return changeCoordinator(world, index, { isLeading: false });
    }
    const ranks = world.ranks.map((rank, number) =>
      answering[number] ? { ...rank, term } : rank
    );
    const isReported = (rank: number) => answering[rank] || silence === "agent";
    const reports = ranks.flatMap((rank, number) =>
      isReported(number) ? [this.#report(world.step, rank, number)] : []
    );
    const { phase } = world.coordinators[index]!.state;
    const polled: PollResult = {
      reports: mutation?.changeReports?.(reports, phase) ?? reports,
      silentRank,
      agentOrders: ranks.flatMap((rank, number) =>
        answering[number]
          ? [[number, this.#describeOrders(world, rank, number)] as const]
          : []
      ),
      phase: phase.name,
    };
    return changeCoordinator({ ...world, ranks }, index, { polled });
  }

  #report(step: number, rank: GroupRank, number: number): RankReport {
    return {
      group: "g",
      epoch: EPOCH,
      rank: number,
      groupSize: this.#options.ranks,
      isOpen: true,
      step,
      mapVersion: rank.mapVersion,
      preparedVersion: rank.preparedVersion,
      armedVersion: rank.armed?.version ?? 0,
      heldStep: rank.heldStep ?? undefined,
      pace: 1,
    };
  }

  #describeOrders(
    { network }: GroupWorld,
    { orderedByRank }: GroupRank,
    number: number,
  ): OrderForwardingState {
    const mayArmLate = network.some(({ rank, isForwarded, order }) =>
      rank === number && isForwarded && order.kind === "arm"
    );
    return {
      mayArmLate: mayArmLate && !this.#options.mutation?.forgetsOrders,
      orderedByRank: orderedByRank ?? undefined,
    };
  }

  /** Applies the reports; returns a world for each way in which orders fare. */
  #apply(world: GroupWorld, index: number): readonly GroupWorld[] {
    const { polled } = world.coordinators[index]!;
    const { reports, silentRank, agentOrders, phase } = polled!;
    const current = changeCoordinator(world, index, { polled: null });
    const reported = this.#dispatch(current, index, {
      type: "reported",
      reports,
      // The phase began at time 0; older polls confirm nothing.
      polledAtMs: phase === current.coordinators[index]!.state.phase.name
        ? 1
        : -1,
      isFollowedByAll: silentRank === null,
      agentOrders: new Map(agentOrders),
    });
    return reported.flatMap((next) => this.#continue(next, index));
  }

  /** Gives the coordinator the map or the plan that it waits for. */
  #continue(world: GroupWorld, index: number): readonly GroupWorld[] {
    const { state, hasPlan, isLeading } = world.coordinators[index]!;
    if (!isLeading) return [world];
    if (requiresCurrentMap(state)) {
      const event = { type: "currentMapRead", map: this.#map } as const;
      return this.#dispatch(world, index, event);
    }
    if (!hasPlan || !canStartSwitch(state)) return [world];
    const planning = changeCoordinator(world, index, { hasPlan: false });
    const planned = { type: "planned", map: this.#map } as const;
    return this.#dispatch(planning, index, planned);
  }

  #dispatch(
    world: GroupWorld,
    index: number,
    event: SwitchEvent,
  ): readonly GroupWorld[] {
    const state = structuredClone(world.coordinators[index]!.state);
    // Every order that is still needed is sent again in each round.
    if (event.type === "reported") state.sentAtMs.clear();
    const { effects } = stepSwitch(state, event, 0);
    const next = changeCoordinator(world, index, { state });
    return effects.reduce<readonly GroupWorld[]>(
      (worlds, effect) =>
        worlds.flatMap((each) => this.#send(each, index, effect)),
      [next],
    );
  }

  /** Sends an order, which is carried out at once or, with a fault, later. */
  #send(
    world: GroupWorld,
    coordinator: number,
    effect: SwitchEffect,
  ): readonly GroupWorld[] {
    if (effect.type !== "send") return [world];
    const { rank, order, isDirect } = effect;
    // An older coordinator has no recent replies, so it sends nothing directly.
    const isNewest = coordinator === world.coordinators.length - 1;
    if (isDirect && !isNewest) return [world];
    const at = isDirect ? "engine" : "agent";
    const sent = { rank, coordinator, order, at, isForwarded: false } as const;
    const carriedOut = this.#deliver(world, sent, true);
    if (world.faultsLeft === 0) return carriedOut;
    const failing = { ...world, faultsLeft: world.faultsLeft - 1 };
    const isKnown = this.#isWithoutEffect(failing, sent);
    return isKnown
      ? carriedOut
      : [...carriedOut, ...this.#delay(failing, sent)];
  }

  /** Leaves an order with the agent, or with the engine. */
  #delay(world: GroupWorld, sent: SentOrder): readonly GroupWorld[] {
    if (sent.at === "engine") return [addOrder(world, sent)];
    const forwarded = { ...sent, at: "engine", isForwarded: true } as const;
    const accepted = this.#follow(world, sent);
    return accepted === undefined
      ? [addOrder(world, sent)]
      : [addOrder(world, sent), addOrder(accepted, forwarded)];
  }

  /** The agent's part of an order; undefined if it rejects the order. */
  #follow(
    world: GroupWorld,
    { rank: number, coordinator, order }: SentOrder,
  ): GroupWorld | undefined {
    const rank = world.ranks[number]!;
    const term = coordinator + 1;
    const { mutation } = this.#options;
    if (term < rank.term && !mutation?.acceptsOldTerms) return undefined;
    const isReverting = order.kind === "supersede" || order.kind === "disarm";
    const followed = {
      ...rank,
      term: Math.max(term, rank.term),
      orderedByRank: isReverting ? null : coordinator,
    };
    return { ...world, ranks: world.ranks.with(number, followed) };
  }

  #deliver(
    world: GroupWorld,
    sent: SentOrder,
    isAnswered: boolean,
  ): readonly GroupWorld[] {
    const { rank: number, at, coordinator, order } = sent;
    const network = world.network.filter((other) => other !== sent);
    const left = { ...world, network };
    const accepted = at === "agent" ? this.#follow(left, sent) : left;
    if (accepted === undefined) {
      return isAnswered
        ? [changeCoordinator(left, coordinator, { isLeading: false })]
        : [left];
    }
    const { changed, result } = carryOut(
      accepted.ranks[number]!,
      order,
      world.step,
    );
    const ranks = accepted.ranks.with(number, changed);
    const next = { ...accepted, ranks };
    if (!isAnswered || !next.coordinators[coordinator]!.isLeading) {
      return [next];
    }
    return this.#dispatch(next, coordinator, {
      type: "orderEnded",
      rank: number,
      order,
      epoch: EPOCH,
      result,
    });
  }

  #deliverLate(world: GroupWorld, sent: SentOrder): readonly GroupTransition[] {
    const { rank, at, coordinator, order } = sent;
    const subject = "step" in order ? order.step : order.version;
    const action =
      `${at} of rank ${rank} gets ${order.kind} ${subject} of ${coordinator}`;
    return this.#deliver(world, sent, false)
      .map((next) => ({ action, world: next }));
  }
}
