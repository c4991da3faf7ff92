/**
 * Simulates entries and targets in virtual time: requests with one prompt part
 * crash their targets, beside sound requests, lost reports and targets that fail
 * for other reasons.
 */

import type { Random } from "@dandelionbank/message-queue";
import {
  countLostParts,
  PromptQuarantine,
} from "@dandelionbank/quarantine-prompts";

export interface PromptsPlan {
  readonly entries: number;
  readonly targets: number;
  readonly soundPerS: number;
  /** Requests with `CRASHING_PART`. */
  readonly crashingPerS: number;
  /** Whether a crash interrupts the requests at all targets. */
  readonly isGroup: boolean;
  /** Failures of a target for another reason. */
  readonly otherFailuresPerS: number;
  /** Time before the first crashing request and the first failure. */
  readonly warmUpMs: number;
  /** Probability that a report does not reach another entry. */
  readonly reportLoss: number;
}

export const CRASHING_PART = "bad";

interface Running {
  readonly entry: number;
  readonly target: number;
  readonly parts: readonly string[];
  readonly beganAtMs: number;
}

const OPTIONS = {
  quarantineMs: 600_000,
  settleMs: 600,
  retentionMs: 600_000,
  maxParts: 1_000,
  maxCrashes: 256,
} as const;
const STEP_MS = 50;
const ROUND_MS = 250;
/** Time from the arrival of a request to the first event of its answer. */
const READ_MS = 100;
/** Time from the first event to the crash, and to the end of a sound answer. */
const CRASH_DELAY_MS = 100;
const ANSWER_MS = 600;
/** Time from the first event after which an answer shows that its target lives. */
const SURVIVED_MS = 300;
const STALL_MS = 1_500;
const RESTART_MS = 3_000;
/** Latest detection of a crash at an entry. */
const MAX_DETECTION_MS = 1_000;
const FIRST_PARTS = ["first-0", "first-1", "first-2"];
const SUBJECTS = 40;
const MS_PER_S = 1_000;

export class PromptsWorld {
  readonly #plan: PromptsPlan;
  readonly #random: Random;
  readonly #entries: readonly PromptQuarantine[];
  readonly #upAtMs: number[];
  readonly #runNumbers: number[];
  #running: readonly Running[] = [];
  #pending: readonly { readonly atMs: number; readonly run: () => void }[] = [];
  #nowMs = 0;
  #opensAtMs = 0;
  /** Times of the crashes by `CRASHING_PART`. */
  readonly crashesMs: number[] = [];
  /** Times at which requests with that part have reached targets. */
  readonly crashingArrivalsMs: number[] = [];
  /** Times at which sound requests were sent, and those of the refused ones. */
  readonly soundSentMs: number[] = [];
  readonly soundRefusedMs: number[] = [];
  readonly quarantined = new Set<string>();
  otherFailures = 0;
  answered = 0;
  lostReports = 0;

  private constructor(plan: PromptsPlan, random: Random) {
    this.#plan = plan;
    this.#random = random;
    this.#entries = Array.from(
      { length: plan.entries },
      (_, index) =>
        PromptQuarantine.create({ ...OPTIONS, entry: `entry-${index}` }),
    );
    this.#upAtMs = Array.from({ length: plan.targets }, () => 0);
    this.#runNumbers = [...this.#upAtMs];
  }

  static create(plan: PromptsPlan, random: Random): PromptsWorld {
    return new PromptsWorld(plan, random);
  }

  run(durationMs: number): void {
    for (; this.#nowMs < durationMs; this.#nowMs += STEP_MS) this.#step();
  }

  #step(): void {
    const { soundPerS, crashingPerS, otherFailuresPerS } = this.#plan;
    const nowMs = this.#nowMs;
    const due = this.#pending.filter(({ atMs }) => atMs <= nowMs);
    this.#pending = this.#pending.filter(({ atMs }) => atMs > nowMs);
    for (const { run } of due) run();
    this.#repeat(soundPerS, () => this.#send([]));
    if (nowMs >= this.#plan.warmUpMs) {
      this.#repeat(crashingPerS, () => this.#send([CRASHING_PART]));
      this.#repeat(otherFailuresPerS, () => this.#failAny());
    }
    this.#advanceRequests();
    if (nowMs % ROUND_MS === 0) this.#exchangeReports();
  }

  #repeat(perS: number, action: () => void): void {
    const expected = perS * STEP_MS / MS_PER_S;
    const count = Math.floor(expected) +
      (this.#random.chance(expected % 1) ? 1 : 0);
    for (let index = 0; index < count; index++) action();
  }

  #send(middle: readonly string[]): void {
    const { entries } = this.#plan;
    // The minimum of two draws makes some subjects more popular than others.
    const subject = Math.min(this.#draw(SUBJECTS), this.#draw(SUBJECTS));
    const parts = [
      this.#random.pick(FIRST_PARTS),
      `subject-${subject}`,
      ...middle,
    ];
    const entry = this.#draw(entries);
    this.#entries[entry]!.recordArrival(parts);
    const isRefused = this.#entries[entry]!
      .findQuarantined(parts, this.#nowMs) !== undefined;
    if (middle.length === 0) {
      this.soundSentMs.push(this.#nowMs);
      if (isRefused) this.soundRefusedMs.push(this.#nowMs);
    }
    if (isRefused) return;
    const target = this.#draw(this.#plan.targets);
    if (middle.length > 0) this.crashingArrivalsMs.push(this.#nowMs);
    if (!this.#isOpen(target)) return;
    const beganAtMs = this.#nowMs + READ_MS;
    this.#running = [...this.#running, { entry, target, parts, beganAtMs }];
  }

  #draw(count: number): number {
    return this.#random.int(0, count - 1);
  }

  #isOpen(target: number): boolean {
    return this.#upAtMs[target]! <= this.#nowMs &&
      this.#opensAtMs <= this.#nowMs;
  }

  #advanceRequests(): void {
    const nowMs = this.#nowMs;
    for (const { target, parts, beganAtMs } of this.#running) {
      const isCrashing = parts.includes(CRASHING_PART);
      if (!isCrashing || nowMs - beganAtMs < CRASH_DELAY_MS) continue;
      if (!this.#isOpen(target)) continue;
      this.crashesMs.push(nowMs);
      this.#fail(target);
    }
    const isStalled = nowMs < this.#opensAtMs;
    const isDone = ({ beganAtMs }: Running) =>
      !isStalled && nowMs - beganAtMs >= ANSWER_MS;
    for (const { entry, parts } of this.#running.filter(isDone)) {
      this.answered += 1;
      this.#entries[entry]!.recordSurvival(parts, nowMs);
    }
    this.#running = this.#running.filter((request) => !isDone(request));
  }

  #failAny(): void {
    this.otherFailures += 1;
    this.#fail(this.#draw(this.#plan.targets));
  }

  /** Ends a target; each entry detects that after a while. */
  #fail(target: number): void {
    if (!this.#isOpen(target)) return;
    const failedAtMs = this.#nowMs;
    const run = `${target}-${this.#runNumbers[target]!}`;
    this.#runNumbers[target]! += 1;
    this.#upAtMs[target] = failedAtMs + RESTART_MS;
    const lost = this.#running.filter((request) => request.target === target);
    this.#running = this.#running.filter((request) =>
      request.target !== target
    );
    if (this.#plan.isGroup) {
      this.#opensAtMs = failedAtMs + RESTART_MS;
      this.#schedule(STALL_MS, () => this.#running = []);
    }
    this.#entries.forEach((entry, index) => {
      const own = lost.filter((request) => request.entry === index);
      this.#recordLoss(entry, { run, lost: own, failedAtMs });
    });
  }

  #recordLoss(
    entry: PromptQuarantine,
    { run, lost, failedAtMs }: {
      readonly run: string;
      readonly lost: readonly Running[];
      readonly failedAtMs: number;
    },
  ): void {
    const hasSurvived = ({ beganAtMs }: Running) =>
      failedAtMs - beganAtMs >= SURVIVED_MS;
    for (const { parts } of lost.filter(hasSurvived)) {
      entry.recordSurvival(parts, failedAtMs);
    }
    const suspects = lost.filter((request) => !hasSurvived(request));
    this.#schedule(this.#random.int(0, MAX_DETECTION_MS), () => {
      const parts = countLostParts(suspects.map((request) => request.parts));
      const ageMs = this.#nowMs - failedAtMs;
      const requests = suspects.length;
      entry.recordCrash({ target: run, ageMs, requests, parts }, this.#nowMs);
    });
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#pending = [...this.#pending, { atMs: this.#nowMs + delayMs, run }];
  }

  #exchangeReports(): void {
    const nowMs = this.#nowMs;
    const reports = this.#entries.map((entry) => entry.createReport(nowMs));
    this.#entries.forEach((entry, index) => {
      reports.forEach((report, source) => {
        if (source === index) return;
        if (this.#random.chance(this.#plan.reportLoss)) {
          this.lostReports += 1;
          return;
        }
        entry.applyReport(report, { entry: `entry-${source}`, nowMs });
      });
      for (const { part } of entry.tick(nowMs)) this.quarantined.add(part);
    });
  }
}
