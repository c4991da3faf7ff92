/**
 * Randomised runs of entries that divide one contract's limits. Messages are
 * delayed, lost, duplicated and reordered. Entries are frozen for longer than any
 * loan, replaced, and disconnected from each other and from the platform. The
 * list of entries and the limits change, and the entries' clocks differ. The sum
 * of the shares that all entries may use is compared with the limits throughout.
 */

import {
  computeUsableShare,
  LOAN_DURATION_MS,
  OFFER_DURATION_MS,
} from "@dandelionbank/grant-allowances";
import { MessageQueue } from "@dandelionbank/message-queue";
import type { AllowanceMessage, LimitShare } from "@dandelionbank/types";
import { LimitNode } from "./limit_node.ts";
import { count, createRunTally } from "../run_tally.ts";
import type { RunReport, Soak } from "../soak.ts";

/** Time for which an entry may use the state that it read from the platform. */
const FRESHNESS_MS = 4_000;
/** Longest time for which a replaced list of entries may still be in use. */
const SETTLE_MS = FRESHNESS_MS + OFFER_DURATION_MS;
const TICK_INTERVAL_MS = 250;
const CHECK_INTERVAL_MS = 100;
const FAULTS_END_MS = 60_000;
const END_MS = 100_000;
const MAX_FREEZE_DURATION_MS = 15_000;
const MAX_CUT_DURATION_MS = 12_000;

interface LimitsChange {
  readonly sinceMs: number;
  readonly limits: LimitShare;
}

export const LIMITS_SOAK: Soak = {
  name: "limits",
  run: (seed) => LimitsRun.create(seed).run(),
};

class LimitsRun {
  readonly #queue: MessageQueue<AllowanceMessage>;
  readonly #report = createRunTally();
  readonly #nodes = new Map<string, LimitNode>();
  readonly #disconnectedNodes = new Set<string>();
  readonly #demands = new Map<string, LimitShare>();
  readonly #limitHistory: LimitsChange[] = [];
  #entries: string[] = [];
  #startCount = 0;
  #admittedCount = 0;

  private constructor(seed: number) {
    this.#queue = MessageQueue.create<AllowanceMessage>({
      seed,
      faults: {
        minDelayMs: 1,
        maxDelayMs: 40,
        lossProbability: 0.05,
        duplicateProbability: 0.05,
        reorderProbability: 0.05,
        maxReorderDelayMs: 5_000,
      },
    });
  }

  static create(seed: number): LimitsRun {
    return new LimitsRun(seed);
  }

  run(): RunReport {
    this.#changeLimits();
    const entryCount = this.#queue.random.int(2, 6);
    for (let index = 0; index < entryCount; index++) {
      this.#entries.push(`e${index}`);
    }
    for (const name of this.#entries) this.#start(name);
    this.#repeat(CHECK_INTERVAL_MS, END_MS, () => this.#checkSums());
    this.#repeat(700, FAULTS_END_MS, () => this.#injectFault());
    this.#repeat(900, FAULTS_END_MS, () => this.#changeDemand());
    this.#queue.runAt(FAULTS_END_MS, () => this.#endFaults());
    this.#queue.runUntilQuiet({ limitMs: END_MS });
    this.#checkEnd();
    return this.#createReport();
  }

  #repeat(periodMs: number, untilMs: number, run: () => void): void {
    const runAndReschedule = () => {
      run();
      const nextMs = this.#queue.nowMs + periodMs;
      if (nextMs < untilMs) this.#queue.runAt(nextMs, runAndReschedule);
    };
    this.#queue.runAt(periodMs, runAndReschedule);
  }

  #start(name: string): void {
    const queue = this.#queue;
    queue.jumpClock(name, queue.random.int(-20_000, 20_000));
    const node = LimitNode.create({
      name,
      incarnation: `${name}-${this.#startCount++}`,
      settleMs: SETTLE_MS,
      clockMs: () => queue.clockMs(name),
      post: (to, message) => queue.post({ from: name, to }, message),
      reportViolation: (detail) => this.#reportViolation(detail),
    });
    this.#nodes.set(name, node);
    queue.start(name, node);
    const startedNode = node;
    const tick = () => {
      if (this.#nodes.get(name) !== startedNode) return;
      if (!this.#disconnectedNodes.has(name)) {
        startedNode.applyPlatformState({
          limits: this.#limitHistory.at(-1)!.limits,
          entries: this.#entries,
          freshUntilMs: queue.clockMs(name) + FRESHNESS_MS,
        });
      }
      this.#admittedCount += startedNode.tick(this.#demands.get(name));
      queue.startTimer(name, { delayMs: TICK_INTERVAL_MS, run: tick });
    };
    queue.startTimer(name, {
      delayMs: queue.random.int(0, TICK_INTERVAL_MS),
      run: tick,
    });
  }

  #checkSums(): void {
    let concurrency = 0;
    let loanCount = 0;
    let rate = 0;
    for (const [name, node] of this.#nodes) {
      const nowMs = this.#queue.clockMs(name);
      if (!node.isFresh(nowMs)) continue;
      const share = computeUsableShare(node.holding, nowMs);
      concurrency += share.concurrentRequests;
      rate += share.requestsPerSecond;
      loanCount += node.holding.borrowed.length;
    }
    const { concurrentRequests, requestsPerSecond } = this
      .#findLargestActiveLimits();
    if (concurrency > concurrentRequests) {
      this.#reportViolation(
        `${concurrency} concurrent requests, limit ${concurrentRequests}`,
      );
    }
    // The tolerance is for rounding errors of the sum.
    if (rate > requestsPerSecond * (1 + 1e-9)) {
      this.#reportViolation(
        `${rate} requests per second, limit ${requestsPerSecond}`,
      );
    }
    count(this.#report.invariants, "sharesWithinLimits");
    if (loanCount > 0) count(this.#report.invariants, "loansWithinLimits");
  }

  /** Returns the largest limits that an entry may still apply. */
  #findLargestActiveLimits(): LimitShare {
    const oldestMs = this.#queue.nowMs - FRESHNESS_MS - LOAN_DURATION_MS;
    const active = this.#limitHistory.filter((_, index) => {
      const next = this.#limitHistory[index + 1];
      return next === undefined || next.sinceMs >= oldestMs;
    });
    return createLimits(
      Math.max(...active.map(({ limits }) => limits.concurrentRequests)),
    );
  }

  /** Injects a random fault, or none in one of seven cases. */
  #injectFault(): void {
    const { random } = this.#queue;
    const name = random.pick(this.#entries);
    switch (random.int(0, 6)) {
      case 0:
        return this.#freeze(name);
      case 1:
        return this.#replace(name);
      case 2:
        return this.#cut(name, random.pick(this.#entries));
      case 3:
        return this.#disconnectFromPlatform(name);
      case 4:
        return this.#changeLimits();
      case 5:
        return this.#changeEntries();
    }
  }

  #freeze(name: string): void {
    count(this.#report.faults, "freeze");
    this.#queue.freeze(name);
    const untilMs = this.#queue.nowMs +
      this.#queue.random.int(50, MAX_FREEZE_DURATION_MS);
    this.#queue.runAt(untilMs, () => this.#queue.thaw(name));
  }

  #replace(name: string): void {
    count(this.#report.faults, "replacement");
    this.#queue.stop(name);
    this.#start(name);
  }

  #cut(from: string, to: string): void {
    count(this.#report.faults, "cut");
    this.#queue.cut({ from, to });
    const untilMs = this.#queue.nowMs +
      this.#queue.random.int(50, MAX_CUT_DURATION_MS);
    this.#queue.runAt(untilMs, () => this.#queue.heal({ from, to }));
  }

  #disconnectFromPlatform(name: string): void {
    count(this.#report.faults, "platformCut");
    this.#disconnectedNodes.add(name);
    const untilMs = this.#queue.nowMs +
      this.#queue.random.int(50, MAX_CUT_DURATION_MS);
    this.#queue.runAt(untilMs, () => this.#disconnectedNodes.delete(name));
  }

  #changeLimits(): void {
    count(this.#report.faults, "limitChange");
    const limits = createLimits(this.#queue.random.int(0, 40));
    this.#limitHistory.push({ sinceMs: this.#queue.nowMs, limits });
  }

  #changeEntries(): void {
    count(this.#report.faults, "listChange");
    const { random } = this.#queue;
    if (this.#entries.length > 2 && random.chance(0.5)) {
      const removed = random.pick(this.#entries);
      this.#entries = this.#entries.filter((name) => name !== removed);
      return;
    }
    const added = `e${random.int(0, 7)}`;
    if (this.#entries.includes(added)) return;
    this.#entries = [...this.#entries, added];
    if (!this.#nodes.has(added)) this.#start(added);
  }

  #changeDemand(): void {
    const { random } = this.#queue;
    const name = random.pick(this.#entries);
    const maxAmount = random.chance(0.3) ? 40 : 3;
    this.#demands.set(name, createLimits(random.int(0, maxAmount)));
  }

  #endFaults(): void {
    this.#queue.healAll();
    this.#disconnectedNodes.clear();
    this.#queue.setFaults({
      lossProbability: 0,
      duplicateProbability: 0,
      reorderProbability: 0,
    });
    for (const name of this.#nodes.keys()) this.#queue.thaw(name);
  }

  /** Checks that after the faults an entry can use what the others do not need. */
  #checkEnd(): void {
    const { limits } = this.#limitHistory.at(-1)!;
    let totalDemand = 0;
    let usable = 0;
    for (const [name, node] of this.#nodes) {
      const demand = this.#demands.get(name)?.requestsPerSecond ?? 0;
      const share = computeUsableShare(node.holding, this.#queue.clockMs(name));
      totalDemand += demand;
      usable += Math.min(demand, share.requestsPerSecond);
    }
    const satisfiable = Math.min(totalDemand, limits.requestsPerSecond);
    count(this.#report.invariants, "limitUsableAfterFaults");
    if (usable < 0.95 * satisfiable) {
      this.#reportViolation(
        `only ${usable} of ${satisfiable} requests per second usable at the end`,
      );
    }
  }

  #reportViolation(detail: string): void {
    this.#report.violations.push(`${this.#queue.nowMs} ms: ${detail}`);
  }

  #createReport(): RunReport {
    const { lost, duplicated, reordered } = this.#queue.counts;
    Object.assign(this.#report.faults, {
      lost,
      doubled: duplicated,
      crossed: reordered,
    });
    count(this.#report.outcomes, "admitted", this.#admittedCount);
    return this.#report;
  }
}

function createLimits(amount: number): LimitShare {
  return {
    requestsPerSecond: amount,
    concurrentRequests: amount,
    tokensPerMinute: amount * 1_000,
  };
}
