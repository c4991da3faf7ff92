/**
 * Randomised runs of the spreading of configuration. Entries and agents freeze,
 * are replaced and lose links to each other. The platform has outages, is slow,
 * is unreachable for one process, or answers a read from an old state, and its
 * watches have gaps. A process that may accept work must know every change that
 * was accepted at least the freshness period ago.
 */

import { MessageQueue } from "@dandelionbank/message-queue";
import {
  FRESHNESS_MS,
  UNSEEN_CHANGE_WINDOW_MS,
} from "@dandelionbank/spread-configuration";
import type { ViewDelta } from "@dandelionbank/types";
import { count, createRunTally } from "../run_tally.ts";
import type { RunReport, Soak } from "../soak.ts";
import { ConfigNode } from "./config_node.ts";
import { StoreNode } from "./store_node.ts";
import type { ConfigMessage } from "./store_node.ts";

const STORE = "store";
const TICK_INTERVAL_MS = 250;
const CHECK_INTERVAL_MS = 100;
const FAULTS_END_MS = 60_000;
const RECOVERY_MS = 12_000;
const END_MS = FAULTS_END_MS + RECOVERY_MS;
const READ_TIMEOUT_MS = 1_500;
const MAX_READ_DELAY_MS = 1_200;
const MAX_FREEZE_DURATION_MS = 20_000;
const MAX_CUT_DURATION_MS = 15_000;
const MAX_OUTAGE_DURATION_MS = 25_000;
const OBJECT_NAMES = ["config", "malabar", "harnessa", "stop", "duty"];

export const CONFIG_SOAK: Soak = {
  name: "config",
  run: (seed) => ConfigRun.create(seed).run(),
};

class ConfigRun {
  readonly #queue: MessageQueue<ConfigMessage>;
  readonly #store: StoreNode;
  readonly #tally = createRunTally();
  readonly #nodes = new Map<string, ConfigNode>();
  readonly #entries: readonly string[];
  readonly #names: readonly string[];
  #startCount = 0;
  #disconnectedNode: string | undefined;
  #outage = { sinceMs: -Infinity, untilMs: -Infinity };

  private constructor(seed: number) {
    this.#queue = MessageQueue.create<ConfigMessage>({
      seed,
      faults: {
        minDelayMs: 1,
        maxDelayMs: 40,
        lossProbability: 0.03,
        duplicateProbability: 0.05,
        reorderProbability: 0.05,
        maxReorderDelayMs: 4_000,
      },
    });
    const { random } = this.#queue;
    this.#store = StoreNode.create({
      nowMs: () => this.#queue.nowMs,
      post: (to, message) => this.#queue.post({ from: STORE, to }, message),
      shouldReadStale: () => random.chance(0.05),
    });
    this.#entries = createNames("e", random.int(3, 12));
    this.#names = [...this.#entries, ...createNames("a", random.int(1, 4))];
  }

  static create(seed: number): ConfigRun {
    return new ConfigRun(seed);
  }

  run(): RunReport {
    this.#queue.start(STORE, this.#store);
    this.#store.write("config", false);
    for (const name of this.#names) this.#start(name);
    this.#repeat(CHECK_INTERVAL_MS, END_MS, () => this.#checkAcceptedIsKnown());
    this.#repeat(600, FAULTS_END_MS, () => this.#write());
    this.#repeat(800, FAULTS_END_MS, () => this.#injectFault());
    this.#queue.runAt(FAULTS_END_MS, () => this.#endFaults());
    this.#queue.runUntilQuiet({ limitMs: END_MS });
    this.#checkEnd();
    const { lost, duplicated, reordered } = this.#queue.counts;
    Object.assign(this.#tally.faults, {
      lost,
      doubled: duplicated,
      crossed: reordered,
    });
    return this.#tally;
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
    const node = ConfigNode.create({
      name,
      incarnation: `${name}-${this.#startCount++}`,
      pollOffset: this.#names.indexOf(name),
      entries: this.#entries,
      clockMs: () => queue.clockMs(name),
      post: (to, message) => queue.post({ from: name, to }, message),
      readStore: (onResult) => this.#readStore(name, onResult),
      reportViolation: (detail) => this.#reportViolation(`${name}: ${detail}`),
    });
    this.#nodes.set(name, node);
    queue.start(name, node);
    node.start();
    const tick = () => {
      node.tick();
      queue.startTimer(name, { delayMs: TICK_INTERVAL_MS, run: tick });
    };
    queue.startTimer(name, {
      delayMs: queue.random.int(0, TICK_INTERVAL_MS),
      run: tick,
    });
  }

  /** Reads the store. Unlike a message, a read is never lost: it is answered or times out. */
  #readStore(name: string, onResult: (delta?: ViewDelta) => void): void {
    const delta = this.#disconnectedNode === name
      ? undefined
      : this.#store.read(this.#nodes.get(name)?.revision ?? 0);
    const delayMs = delta === undefined
      ? READ_TIMEOUT_MS
      : this.#queue.random.int(2, MAX_READ_DELAY_MS);
    this.#queue.startTimer(name, { delayMs, run: () => onResult(delta) });
  }

  #checkAcceptedIsKnown(): void {
    const { nowMs } = this.#queue;
    const oldestMs = nowMs - FRESHNESS_MS;
    const requiredRevision = this.#store.findRevisionAt(
      this.#computeRequiredKnownAtMs(oldestMs),
    );
    const isLongOutage = this.#store.isDown && this.#outage.sinceMs < oldestMs;
    for (const [name, node] of this.#nodes) {
      const isWorking = node.mayAcceptWork;
      if (isLongOutage) {
        count(
          this.#tally.outcomes,
          isWorking ? "workInOutage" : "idleInOutage",
        );
      } else count(this.#tally.outcomes, isWorking ? "work" : "idle");
      if (!isWorking) continue;
      count(this.#tally.invariants, "acceptedIsInForce");
      if (node.revision >= requiredRevision) continue;
      this.#reportViolation(
        `${name} accepts work at revision ${node.revision}, expected ${requiredRevision}`,
      );
    }
  }

  /**
   * Returns the time up to which every working process must know the accepted
   * changes. In an outage of the platform, changes from shortly before it may
   * remain unknown.
   */
  #computeRequiredKnownAtMs(oldestMs: number): number {
    const { sinceMs, untilMs } = this.#outage;
    return oldestMs < untilMs
      ? Math.min(oldestMs, sinceMs - UNSEEN_CHANGE_WINDOW_MS)
      : oldestMs;
  }

  #write(): void {
    const { random } = this.#queue;
    const name = random.pick(OBJECT_NAMES);
    if (this.#store.write(name, random.chance(0.3))) {
      count(this.#tally.outcomes, "accepted");
    }
  }

  /** Injects a random fault, or none in two of eight cases. */
  #injectFault(): void {
    const { random } = this.#queue;
    const name = random.pick(this.#names);
    switch (random.int(0, 7)) {
      case 0:
        return this.#freeze(name);
      case 1:
        count(this.#tally.faults, "replacement");
        this.#queue.stop(name);
        return this.#start(name);
      case 2:
      case 3:
        return this.#cut(name, random.pick(this.#names));
      case 4:
        return this.#disconnectFromStore(name);
      case 5:
        return this.#startOutage();
    }
  }

  #freeze(name: string): void {
    count(this.#tally.faults, "freeze");
    this.#queue.freeze(name);
    this.#scheduleRecovery(
      MAX_FREEZE_DURATION_MS,
      () => this.#queue.thaw(name),
    );
  }

  #cut(from: string, to: string): void {
    count(this.#tally.faults, "cut");
    this.#queue.cut({ from, to });
    this.#scheduleRecovery(
      MAX_CUT_DURATION_MS,
      () => this.#queue.heal({ from, to }),
    );
  }

  /**
   * Disconnects one process at a time. If most of the watchers were disconnected,
   * the processes would take it for an outage of the platform.
   */
  #disconnectFromStore(name: string): void {
    if (this.#disconnectedNode !== undefined) return;
    count(this.#tally.faults, "storeCut");
    this.#disconnectedNode = name;
    this.#scheduleRecovery(MAX_CUT_DURATION_MS, () => {
      this.#disconnectedNode = undefined;
    });
  }

  #startOutage(): void {
    if (this.#store.isDown) return;
    count(this.#tally.faults, "outage");
    this.#store.isDown = true;
    const { nowMs } = this.#queue;
    const isSameOutage = nowMs < this.#outage.untilMs + FRESHNESS_MS;
    const sinceMs = isSameOutage ? this.#outage.sinceMs : nowMs;
    this.#outage = { sinceMs, untilMs: Infinity };
    this.#scheduleRecovery(MAX_OUTAGE_DURATION_MS, () => this.#endOutage());
  }

  #endOutage(): void {
    if (!this.#store.isDown) return;
    this.#store.isDown = false;
    this.#outage = { ...this.#outage, untilMs: this.#queue.nowMs };
  }

  #scheduleRecovery(maxMs: number, run: () => void): void {
    const atMs = this.#queue.nowMs + this.#queue.random.int(50, maxMs);
    this.#queue.runAt(atMs, run);
  }

  #endFaults(): void {
    this.#queue.healAll();
    this.#disconnectedNode = undefined;
    this.#endOutage();
    this.#queue.setFaults({
      lossProbability: 0,
      duplicateProbability: 0,
      reorderProbability: 0,
    });
    for (const name of this.#names) this.#queue.thaw(name);
  }

  /** Checks that after the faults every process has the same objects and accepts work. */
  #checkEnd(): void {
    const objects = this.#store.describeObjects();
    for (const [name, node] of this.#nodes) {
      count(this.#tally.invariants, "allAgreeAfterFaults");
      if (node.describeObjects() !== objects) {
        this.#reportViolation(
          `${name} has objects ${node.describeObjects()}, expected ${objects}`,
        );
      }
      count(this.#tally.invariants, "worksAfterFaults");
      if (!node.mayAcceptWork) {
        this.#reportViolation(`${name} accepts no work at the end`);
      }
    }
  }

  #reportViolation(detail: string): void {
    this.#tally.violations.push(`${this.#queue.nowMs} ms: ${detail}`);
  }
}

function createNames(prefix: string, length: number): readonly string[] {
  return Array.from({ length }, (_, index) => `${prefix}${index}`);
}
