/**
 * A group of ranks, its coordinators and the checks of their invariants. Ranks
 * run in lockstep: a rank begins a step when all ranks have begun the one before.
 */

import type {
  MapProposal,
  RankOptions,
  Recipient,
  SettledMap,
  SettledMaps,
  SwitchMessage,
} from "@dandelionbank/switch-map";
import { MessageQueue } from "@dandelionbank/message-queue";
import type { RunReport } from "../soak.ts";
import { CoordinatorNode } from "./coordinator_node.ts";
import { createRank, nameRankVm, RankVm } from "./rank_vm.ts";
import type { Rank } from "./rank_vm.ts";

export const STEP_INTERVAL_MS = 5;

/** Probability that a message goes to the former VM of a replaced rank. */
const STALE_ADDRESS_PROBABILITY = 0.1;
/** Violations after the first ones are mostly their consequences. */
const MAX_REPORTED_VIOLATIONS = 2;

export interface GroupOptions {
  readonly seed: number;
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
  /** Number of ranks. If absent, drawn from 2 to 5 by the seed. */
  readonly size?: number;
}

/** Messages sent, including those that are lost. */
export interface Traffic {
  messages: number;
  bytes: number;
}

export class GroupWorld {
  readonly queue: MessageQueue<SwitchMessage>;
  readonly size: number;
  readonly vms: RankVm[] = [];
  readonly report = {
    faults: {} as Record<string, number>,
    outcomes: {} as Record<string, number>,
    invariants: {} as Record<string, number>,
    violations: [] as string[],
  } satisfies RunReport;
  /** Former VMs of each rank, which may still send messages. */
  readonly #replacedVms: RankVm[][] = [];
  readonly #currentVmNames: string[] = [];
  readonly #coordinators: CoordinatorNode[] = [];
  /** The map version of each step that all ranks have begun. */
  readonly #mapOfCompletedStep: number[] = [];
  /** Whether each proposed map version was committed. */
  readonly #outcomes = new Map<number, boolean>();
  /** The latest step that any rank has begun. The step before it has ended. */
  #latestStep = -1;
  #incarnation = 0;
  /** The settled maps in the store, from which a new agent starts. */
  #recorded: SettledMaps = {
    current: { mapVersion: 1, fromStep: 0 },
    previous: { mapVersion: 0, fromStep: 0 },
  };
  isStoreDown = false;
  /** Counters of the messages sent since the field was set. */
  traffic?: Traffic;

  static create(options: GroupOptions): GroupWorld {
    return new GroupWorld(options);
  }

  private constructor(options: GroupOptions) {
    const { seed, minDelayMs, maxDelayMs } = options;
    const faults = { minDelayMs, maxDelayMs };
    this.queue = MessageQueue.create<SwitchMessage>({ seed, faults });
    this.size = options.size ?? this.queue.random.int(2, 5);
    const incarnations = Array.from(
      { length: this.size },
      () => this.#incarnation += 1,
    );
    incarnations.forEach((incarnation, rank) => {
      this.#replacedVms.push([]);
      this.#currentVmNames.push(nameRankVm({ rank, incarnation }));
    });
    for (const index of incarnations.keys()) {
      const options = this.#createOptions(index, incarnations);
      this.vms.push(RankVm.create(this, { options, rank: createRank(-1) }));
    }
    this.#advance();
  }

  get latestCoordinator(): CoordinatorNode | undefined {
    return this.#coordinators.at(-1);
  }

  get coordinators(): readonly CoordinatorNode[] {
    return this.#coordinators;
  }

  get lowestStep(): number {
    return Math.min(...this.vms.map((vm) => vm.rank.step));
  }

  startCoordinator(leadSteps: number): void {
    const fencingNumber = this.#coordinators.length + 1;
    const options = { fencingNumber, leadSteps };
    this.#coordinators.push(CoordinatorNode.create(this, options));
  }

  /**
   * Replaces a rank's agent while the rank continues. Does nothing during a store
   * outage, since the new agent could not register.
   */
  replaceAgent(index: number): void {
    if (this.isStoreDown) return;
    const former = this.vms[index]!;
    this.count("faults", "agentsReplaced");
    this.queue.stop(former.name);
    const { rank } = former;
    const delayMs = this.queue.random.int(5, 40);
    this.queue.runAt(this.queue.nowMs + delayMs, () => {
      if (this.vms[index] !== former) return;
      this.#start(index, rank, {
        step: rank.step,
        mapVersion: rank.mapOfStep.get(rank.step) ?? 0,
      });
    });
  }

  /** Replaces a rank's VM. The new rank repeats the latest step that any rank has begun. */
  replaceVm(index: number, former: "stopped" | "paused"): void {
    if (this.isStoreDown) return;
    const old = this.vms[index]!;
    this.count("faults", former === "paused" ? "vmsPaused" : "vmsReplaced");
    if (former === "stopped") this.queue.stop(old.name);
    else this.#pause(old);
    this.#replacedVms[index]!.push(old);
    const rank = createRank(Math.max(this.#latestStep - 1, -1));
    this.#start(index, rank, { step: rank.step, mapVersion: 0 });
  }

  send(from: string, to: Recipient, message: SwitchMessage): void {
    if (this.traffic !== undefined) {
      this.traffic.messages += 1;
      this.traffic.bytes += JSON.stringify(message).length;
    }
    if (to.kind === "coordinator") {
      this.queue.post(
        { from, to: `coordinator${to.fencingNumber}` },
        message,
      );
      return;
    }
    const { rank, formerIncarnation: incarnation } = to;
    const name = incarnation === undefined
      ? this.#resolveVmName(rank)
      : nameRankVm({ rank, incarnation });
    this.queue.post({ from, to: name }, message);
  }

  countHeldStep(_index: number): void {
    this.count("outcomes", "stepsHeld");
  }

  /** Checks that a step runs under one map at all live ranks and in completed steps. */
  recordStep(index: number, step: number, mapVersion: number): void {
    this.count("invariants", "oneMapPerStep");
    this.#latestStep = Math.max(this.#latestStep, step);
    const others = this.vms.map((vm) => vm.rank.mapOfStep.get(step));
    const conflictingMap = [this.#mapOfCompletedStep[step], ...others]
      .find((map) => map !== undefined && map !== mapVersion);
    if (conflictingMap !== undefined) {
      this.reportViolation(
        `Step ${step} runs under map ${mapVersion} at rank ${index}, under ${conflictingMap} at another`,
      );
    }
    if (others.every((map) => map !== undefined)) {
      this.#mapOfCompletedStep[step] = mapVersion;
    }
  }

  /**
   * Checks that all ranks have the same outcome of a proposal. A VM that was
   * replaced while it was paused settles alone, as it has left the group.
   */
  recordOutcome(
    vmName: string,
    { mapVersion, committed }: SettledMap & { readonly committed: boolean },
  ): void {
    if (!this.#currentVmNames.includes(vmName)) return;
    this.count("invariants", "oneOutcomePerProposal");
    const known = this.#outcomes.get(mapVersion);
    if (known !== undefined && known !== committed) {
      this.reportViolation(
        `Map ${mapVersion} is ${describeOutcome(committed)} at one rank, ${
          describeOutcome(known)
        } at another`,
      );
    }
    this.#outcomes.set(mapVersion, committed);
    this.count("outcomes", committed ? "rankCommits" : "rankAborts");
  }

  recordSettledMap(
    settled: { readonly map: SettledMap; readonly committed: boolean },
  ): void {
    this.count("outcomes", settled.committed ? "committed" : "aborted");
    if (!settled.committed || this.isStoreDown) return;
    const { current } = this.#recorded;
    if (settled.map.mapVersion <= current.mapVersion) return;
    this.#recorded = { current: settled.map, previous: current };
  }

  /** Returns a proposal that a rank has not settled, if there is one. */
  findOpenProposal(): MapProposal | undefined {
    return this.vms.map((vm) => vm.state.open?.proposal)
      .find((open) => open !== undefined);
  }

  reportViolation(detail: string): void {
    if (this.report.violations.length >= MAX_REPORTED_VIOLATIONS) return;
    this.report.violations.push(`${this.queue.nowMs} ms: ${detail}`);
  }

  count(tally: "faults" | "outcomes" | "invariants", name: string): void {
    this.report[tally][name] = (this.report[tally][name] ?? 0) + 1;
  }

  #advance(): void {
    const lowest = this.lowestStep;
    for (const vm of this.vms) vm.advance(lowest);
    this.queue.runAt(
      this.queue.nowMs + STEP_INTERVAL_MS,
      () => this.#advance(),
    );
  }

  /** Resets the record of steps if every rank and agent was replaced, which starts the group again. */
  #checkGroupRestart(): void {
    const isNew = this.vms.every((vm) =>
      vm.state.join !== undefined && vm.rank.mapOfStep.size === 0
    );
    if (!isNew) return;
    this.count("outcomes", "groupsBegunAnew");
    this.#mapOfCompletedStep.length = 0;
  }

  #start(
    index: number,
    rank: Rank,
    evidence: RankOptions["evidence"],
  ): void {
    this.#incarnation += 1;
    const roster = this.vms.map((vm) => vm.state.self.incarnation);
    const options = this.#createOptions(
      index,
      roster.with(index, this.#incarnation),
    );
    this.#currentVmNames[index] = nameRankVm(options.self);
    this.vms[index] = RankVm.create(this, {
      options: { ...options, evidence },
      rank,
    });
    this.#checkGroupRestart();
  }

  #createOptions(rank: number, roster: readonly number[]): RankOptions {
    return {
      group: "g",
      self: { rank, incarnation: roster[rank]! },
      groupSize: this.size,
      roster,
      recorded: this.#recorded,
      evidence: { step: -1, mapVersion: 0 },
      askIntervalMs: 30,
    };
  }

  #pause(vm: RankVm): void {
    this.queue.freeze(vm.name);
    const untilMs = this.queue.nowMs + this.queue.random.int(10, 800);
    this.queue.runAt(untilMs, () => this.queue.thaw(vm.name));
  }

  /** Returns the VM of a rank, or now and then its predecessor, as a stale address. */
  #resolveVmName(rank: number): string {
    const former = this.#replacedVms[rank]?.at(-1);
    const isStale = former !== undefined &&
      this.queue.random.chance(STALE_ADDRESS_PROBABILITY);
    return isStale ? former.name : this.#currentVmNames[rank]!;
  }
}

function describeOutcome(isCommitted: boolean): string {
  return isCommitted ? "committed" : "aborted";
}
