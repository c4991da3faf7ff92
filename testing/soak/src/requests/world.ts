/**
 * What a run of the soak `requests` knows that no node does: what was really
 * executed, the faults that were injected and the invariants that were checked.
 */

import { MessageQueue, type Random } from "@dandelionbank/message-queue";
import type { Tally } from "../soak.ts";
import type { Message } from "./messages.ts";
import { type SitePlan, SMALL_SITE } from "./settings.ts";
import { StoreFake } from "./store_fake.ts";

/** One call that a caller wants made. */
export interface Operation {
  readonly id: string;
  readonly organisation: string;
  readonly pool: string;
  readonly idempotent: boolean;
  /** Absent if the call has no request key. */
  readonly key: string | undefined;
  readonly fingerprint: string;
  readonly partCount: number;
  /** Whether it crashes each target that runs it. */
  readonly kills: boolean;
}

export const POOLS = ["plain", "engine"] as const;

export class World {
  readonly plan: SitePlan;
  readonly queue: MessageQueue<Message>;
  readonly store: StoreFake;
  readonly operations = new Map<string, Operation>();
  readonly faults: Tally = {};
  readonly outcomes: Tally = {};
  readonly invariants: Tally = {};
  readonly violations: string[] = [];
  /** Fingerprints that some entry quarantined. */
  readonly quarantined = new Set<string>();
  /** Longest time that a target takes for one part of an answer. */
  slowestPartMs = 30;
  readonly #executions = new Map<string, number>();
  readonly #keyExecutions = new Map<string, number>();
  #lastId = 0;

  constructor(seed: number, plan: SitePlan = SMALL_SITE) {
    this.plan = plan;
    this.queue = MessageQueue.create({ seed });
    this.store = new StoreFake(this);
  }

  get random(): Random {
    return this.queue.random;
  }

  nextId(prefix: string): string {
    this.#lastId += 1;
    return `${prefix}${this.#lastId}`;
  }

  fault(kind: string): void {
    this.faults[kind] = (this.faults[kind] ?? 0) + 1;
  }

  outcome(kind: string): void {
    this.outcomes[kind] = (this.outcomes[kind] ?? 0) + 1;
  }

  check(invariant: string, held: { holds: boolean; detail: string }): void {
    this.invariants[invariant] = (this.invariants[invariant] ?? 0) + 1;
    if (!held.holds) this.violate(invariant, held.detail);
  }

  violate(invariant: string, detail: string): void {
    this.violations.push(`${invariant} at ${this.queue.nowMs} ms: ${detail}`);
  }

  /** A target begins a call. Returns how often it has been begun. */
  execute(operation: Operation, scope: string): number {
    const count = (this.#executions.get(scope) ?? 0) + 1;
    this.#executions.set(scope, count);
    const run = `${scope}\n${operation.id}`;
    this.#executions.set(run, (this.#executions.get(run) ?? 0) + 1);
    if (operation.key !== undefined) {
      const keyed = (this.#keyExecutions.get(operation.key) ?? 0) + 1;
      this.#keyExecutions.set(operation.key, keyed);
    }
    if (!operation.idempotent) {
      this.check("runsAtMostOnce", {
        holds: count <= 1,
        detail: `${operation.id} under ${scope} begun ${count} times`,
      });
    }
    return count;
  }

  /** How often an operation was begun within a request or key. */
  executionsOf(operation: Operation, scope: string): number {
    return this.#executions.get(`${scope}\n${operation.id}`) ?? 0;
  }

  executionsOfKey(key: string): number {
    return this.#keyExecutions.get(key) ?? 0;
  }
}

/** The parts of an operation's answer, for its n-th execution. */
export function answerParts(
  operation: Operation,
  execution: number,
): readonly string[] {
  const run = operation.idempotent ? "any" : `run ${execution}`;
  return Array.from(
    { length: operation.partCount },
    (_, part) => `${operation.id} ${run} part ${part};`,
  );
}
